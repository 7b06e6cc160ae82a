"""The daemon: its entry point, the wiring of its parts, and its stop."""
