"""Calls to plain services and the call records of keyed calls."""
