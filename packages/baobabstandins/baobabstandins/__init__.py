"""Stand-ins for the platform and for targets. Released packages don't import them."""
