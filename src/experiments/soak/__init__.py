"""Faults from outside on real processes, while callers run programs."""
