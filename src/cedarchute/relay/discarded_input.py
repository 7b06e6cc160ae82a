"""Discards what a caller sends after its last request was read."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.relay.caller_connection import CallerConnection

# How long a body that is not read is discarded, so that its caller can send all of it
# and then read why: 4 MB take 2 s at 16 Mbit/s.
DISCARD_BODY_SECONDS: Final = 4.0


def discard_input(
    connection: CallerConnection, linger_seconds: float, body_follows: bool
) -> None:
    """Discard input until the queued requests are handled, then linger briefly.

    Returns early if the caller disconnects.

    Parameters
    ----------
    body_follows : bool
        Whether to linger for longer as long as a body still comes.
    """
    while not connection.worker.dead:
        with contextlib.suppress(TimeoutError):
            if not connection.receive(linger_seconds):
                return
    body_deadline = time.monotonic() + DISCARD_BODY_SECONDS if body_follows else 0.0
    while time.monotonic() < body_deadline:
        try:
            if not connection.receive(linger_seconds):
                return
        except TimeoutError:
            return
    deadline = time.monotonic() + linger_seconds
    while (remaining := deadline - time.monotonic()) > 0:
        if not connection.receive(remaining):
            return
