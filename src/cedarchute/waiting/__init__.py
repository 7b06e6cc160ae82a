"""The order in which calls wait for a free place at a target."""
