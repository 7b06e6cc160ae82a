"""Which program goes first, on which target, and what is let in."""
