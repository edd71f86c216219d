"""Fold of the published configuration."""
