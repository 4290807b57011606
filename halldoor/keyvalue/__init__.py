"""Access to the platform: its key-value service, its host list, and the configuration in it."""
