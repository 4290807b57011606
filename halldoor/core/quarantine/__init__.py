"""Requests under which targets end: which are the same, and who stops them."""
