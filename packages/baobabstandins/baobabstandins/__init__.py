"""Stand-ins for the platform and for targets; no shipped package imports them."""
