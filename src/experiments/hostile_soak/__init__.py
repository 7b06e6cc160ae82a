"""Clients that nobody controls beside faults, restarts and planned stops."""
