"""Tasks of the entry process: look-ups, requests, targets, membership, configuration."""
