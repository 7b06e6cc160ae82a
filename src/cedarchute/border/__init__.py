"""HTTP interfaces for callers, boxes and operators."""
