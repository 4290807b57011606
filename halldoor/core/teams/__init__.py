"""Teams that share the system: their keys, home regions and quotas, and admission of requests."""
