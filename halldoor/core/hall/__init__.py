"""The present entry's hall: its slots and links, its targets' health, and who else serves it."""
