"""Live view of the fleet."""
