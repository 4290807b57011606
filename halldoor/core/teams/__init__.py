"""Teams that share the system: whose a request is, and how much each may ask for."""
