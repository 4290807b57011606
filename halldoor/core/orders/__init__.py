"""Requests that run at most once: tickets, and claims of an operation's id."""
