"""Leaves a caller's input unread while a box holds nearly as much as it may."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.relay.unread_input import has_ended_input

if TYPE_CHECKING:
    from cedarchute.relay.caller_connection import CallerConnection

# A body of unknown length is read this much later each time: 64 KB in each pause are
# some 2.6 Mbit/s.
BODY_PAUSE_SECONDS: Final = 0.2
ROOM_CHECK_SECONDS: Final = 0.05


def wait_for_room(connection: CallerConnection) -> bool:
    """Wait near the bound, so that TCP slows the caller down; return whether it did.

    Only what would accumulate waits: requests behind a queued one, and bodies of
    unknown length, whose short pauses are not told. The wait ends with the request in
    progress at the latest, or as the caller leaves.
    """
    held = connection.held
    has_waited = False
    while held.is_near_bound and not connection.requests.empty():
        if connection.is_shut_down or connection.worker.dead:
            return has_waited
        if has_ended_input(connection.sock):
            return has_waited
        has_waited = True
        eventlet.sleep(ROOM_CHECK_SECONDS)
    if held.is_near_bound and connection.reader.grows:
        eventlet.sleep(BODY_PAUSE_SECONDS)
    return has_waited
