"""Which boxes live, who owns what, and how that is found out."""
