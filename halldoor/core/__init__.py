"""Decisions without input or output: time and randomness come in as arguments."""
