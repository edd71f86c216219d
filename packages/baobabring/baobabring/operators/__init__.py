"""Operators' remote calls."""
