"""Clients that don't keep to the limits, against the system's own processes."""
