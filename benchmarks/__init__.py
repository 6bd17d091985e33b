"""Measurements of the policy and of the node's own cost."""
