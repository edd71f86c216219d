"""Probes of targets and their budget."""
