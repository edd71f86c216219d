"""State machine of calls."""
