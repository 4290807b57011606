"""The gateway: an event loop that carries callers' requests straight to targets of any hall."""
