"""Stand-ins of the second review: the platform's store, endpoints, entries and their clients."""
