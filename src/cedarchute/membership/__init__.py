"""Cluster membership: box records, leases, heartbeats and partition records."""
