"""Parts of the operators' command-line tool."""
