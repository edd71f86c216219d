"""Admission of calls and fairness between them."""
