"""Adapter that translates between the platform's protocol and the router's core."""
