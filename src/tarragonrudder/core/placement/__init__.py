"""Decides which engine holds which layers, and orders the engines to load them."""
