"""Waiting calls for tests."""

from __future__ import annotations

from cedarchute.waiting.waiting_call import WaitingCall


def make_call(entered_at=0.0, max_wait=1.0, **fields):
    """Return a call that may wait for `max_wait` seconds."""
    values = {
        "id": "c",
        "service": "s",
        "workspace_rank": 0,
        "route_rank": 0,
        "is_under_way": False,
        "slack_seconds": None,
        "entered_at": entered_at,
        "deadline": entered_at + 8.0,
        "latest_start": entered_at + max_wait,
    }
    return WaitingCall(**(values | fields))
