"""Requests that run at most once: single-use tickets, and claims of operation ids."""
