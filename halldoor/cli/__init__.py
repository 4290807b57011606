"""The programs, one module each."""
