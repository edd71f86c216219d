"""HTTP towards targets."""
