"""Tests of the publication of configuration."""
