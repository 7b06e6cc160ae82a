"""Which box owns a partition, and how that changes."""
