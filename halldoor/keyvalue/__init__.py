"""The platform's key-value service and host list."""
