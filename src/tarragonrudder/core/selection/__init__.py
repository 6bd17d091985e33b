"""Chooses the chain of upstreams that runs a model answer."""
