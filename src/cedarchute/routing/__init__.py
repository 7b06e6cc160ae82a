"""Routes, services and targets, and the choice of a target for a call."""
