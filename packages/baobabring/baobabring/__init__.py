"""Load balancer that answers for the outcome of each call."""
