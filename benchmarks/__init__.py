"""Benchmarks of the routing policy and of the router's own cost."""
