"""Command-line programs; each module is one, apart from `fleet`, `loading` and `replay`."""
