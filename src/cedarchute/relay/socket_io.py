"""Reads and writes with timeouts that a pause of the process does not set off.

After a pause the event loop looks at timers before sockets, so a timeout does not mean
that nothing could have been read or written.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.hubs import trampoline

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

READ_BYTES: Final = 65_536
# How often a write that nothing is taken of looks at how long it may still wait.
PATIENCE_CHECK_SECONDS: Final = 0.25


def receive_within(
    sock: socket.socket, seconds: float, reason: str, count: int = READ_BYTES
) -> bytes:
    """Return the next bytes, `count` at most, none at an orderly close.

    Raises
    ------
    TimeoutError
        When nothing has come after `seconds`; its text is `reason`.
    OSError
        On a reset. ``recv`` of eventlet's socket reports one as an orderly close, which
        would make a truncated response look complete.
    """
    raw = sock.fd
    timeout = TimeoutError(reason)
    try:
        with eventlet.Timeout(seconds, timeout):
            while True:
                try:
                    return raw.recv(count)
                except BlockingIOError:
                    trampoline(raw, read=True)
    except TimeoutError as error:
        # A connection that TCP gave up raises the same class; it is not read again.
        if error is not timeout:
            raise
    try:
        return raw.recv(count)
    except BlockingIOError:
        raise timeout from None


def send_within(sock: socket.socket, data: bytes, seconds: float) -> None:
    """Write bytes; raise ``TimeoutError`` when none are taken for `seconds`."""
    rest = memoryview(data)
    while rest:
        sent = send_some(sock, rest, seconds)
        if not sent:
            raise TimeoutError("write timed out")
        rest = rest[sent:]


def send_while_patient(
    sock: socket.socket, data: bytes, read_patience: Callable[[], float]
) -> None:
    """Write bytes; raise ``TimeoutError`` when none are taken for too long.

    Parameters
    ----------
    read_patience : Callable
        Returns for how many seconds none may be taken, which may change meanwhile.
    """
    rest = memoryview(data)
    taken_at = time.monotonic()
    while rest:
        sent = send_some(sock, rest, PATIENCE_CHECK_SECONDS)
        if sent:
            taken_at = time.monotonic()
            rest = rest[sent:]
        elif time.monotonic() - taken_at >= read_patience():
            raise TimeoutError("write timed out")


def send_some(sock: socket.socket, data: memoryview, seconds: float) -> int:
    """Write what the other side takes; return how much, 0 for none in `seconds`."""
    timeout = TimeoutError("write timed out")
    try:
        with eventlet.Timeout(seconds, timeout):
            return sock.send(data)
    except TimeoutError as error:
        if error is not timeout:
            raise
    try:
        return sock.fd.send(data)
    except BlockingIOError:
        return 0
