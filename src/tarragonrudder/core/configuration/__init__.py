"""Acceptance of new configurations and adoption of accepted ones."""
