"""Marks a request whose caller waits before it sends the body."""

from __future__ import annotations

from cedarchute.record import Record


class ContinueExpected(Record):
    """Queued behind the requests before it, so that responses stay in order."""
