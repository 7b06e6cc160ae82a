"""A follower of the store that keeps what it is told."""

from __future__ import annotations


class RecordingFollower:
    """Keeps entries, and counts how often the store came back."""

    def __init__(self):
        self.entries = {}
        self.back = 0

    def put(self, key, value):
        self.entries[key] = value

    def remove(self, key):
        self.entries.pop(key, None)

    def note_store_back(self):
        self.back += 1
