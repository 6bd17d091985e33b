"""Forwarding of opaque requests: routing, queueing, refusal and stall recovery."""
