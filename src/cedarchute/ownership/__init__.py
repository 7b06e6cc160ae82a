"""Ownership of partitions: assignment, failure detection and takeover."""
