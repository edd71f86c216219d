"""Schema of the operators' calls and the code generated from it."""
