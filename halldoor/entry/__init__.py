"""The entry process: look-ups, requests, targets, membership and configuration."""
