"""Decisions of the router, without input or output."""
