"""Stand-ins of the platform, of workers and of clients for the review's cases.

They need nothing beyond the standard library.
"""
