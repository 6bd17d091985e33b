"""Small measurements, each printing a table."""
