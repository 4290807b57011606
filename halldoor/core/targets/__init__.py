"""The gateway's choice of a target: what is known of targets, and how much they may get."""
