"""What became of a request and why: decisions, their log lines, and reports of many."""
