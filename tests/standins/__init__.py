"""Stand-ins for the platform, engines, services and callers.

Some run as real processes, the others on a virtual clock.
"""
