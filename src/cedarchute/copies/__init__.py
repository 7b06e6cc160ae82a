"""Replication of program records to boxes in other failure domains."""
