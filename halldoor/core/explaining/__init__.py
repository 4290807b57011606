"""Explanations of what happened to requests, from decision records and log lines."""
