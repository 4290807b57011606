"""Benchmarks; each module is a command that prints a table and writes it to docs/measurements."""
