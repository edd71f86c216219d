"""Stand-ins of the platform, its store, upstreams and clients, for the cases."""
