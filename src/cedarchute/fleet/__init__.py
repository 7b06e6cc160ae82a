"""Boxes of the platform: who serves, who holds, what they know of the store."""
