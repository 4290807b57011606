"""The operators' configuration: its model, selectors, shifts, revisions, audit and permissions."""
