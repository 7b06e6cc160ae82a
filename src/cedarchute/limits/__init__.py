"""Limits of workspaces, retries and time."""
