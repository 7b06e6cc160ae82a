"""Bounds on the bytes and connections that a box holds."""
