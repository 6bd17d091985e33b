"""Calls to plain services and the idempotency records of keyed calls."""
