"""Leaves a caller's input unread while much of it waits, or a box holds much."""

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
    """Wait, so that TCP slows the caller down; return whether it did.

    Only what would accumulate waits: requests behind many queued ones, or behind a
    single one near the bound, and bodies of unknown length there, whose short pauses
    are not told. The wait ends with the request in progress at the latest, or as the
    caller leaves.
    """
    held = connection.held
    has_waited = False
    # A request that was just queued is taken as soon as its task runs.
    pause = 0.0
    while must_wait(connection):
        if connection.is_shut_down or connection.worker.dead:
            return has_waited
        if has_ended_input(connection.sock):
            return has_waited
        has_waited = True
        eventlet.sleep(pause)
        pause = ROOM_CHECK_SECONDS
    if held.is_near_bound and connection.reader.grows:
        eventlet.sleep(BODY_PAUSE_SECONDS)
    return has_waited


def must_wait(connection: CallerConnection) -> bool:
    """Return whether a further request is better left unread."""
    if connection.requests.empty():
        return False
    return connection.is_queue_full or connection.held.is_near_bound
