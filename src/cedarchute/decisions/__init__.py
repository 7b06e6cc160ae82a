"""Pure decision logic for overload, quotas and staleness: no I/O or tasks."""
