"""The entry's own hall: its slots and links, the health of its targets, and its other entries."""
