"""One node: all decisions behind a single entry point."""
