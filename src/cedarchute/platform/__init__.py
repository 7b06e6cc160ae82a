"""Clients and wire formats of the platform's key-value store and box list."""
