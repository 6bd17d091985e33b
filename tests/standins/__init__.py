"""Stand-ins for the platform, the model engines and plain services."""
