"""Replays load on engines, boxes and callers in virtual time."""
