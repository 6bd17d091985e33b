"""Fault matrix: every fault at every step, with its proof."""
