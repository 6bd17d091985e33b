"""Stand-ins for the platform on loopback: metadata store, upstreams and callers."""
