"""Reads and writes with timeouts that a pause of the process does not set off.

After a pause the event loop looks at timers before sockets, so a timeout does not mean
that nothing could have been read or written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.hubs import trampoline

if TYPE_CHECKING:
    import socket

READ_BYTES: Final = 65_536


def receive_within(sock: socket.socket, seconds: float, reason: str) -> bytes:
    """Return the next bytes, none at an orderly close.

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
                    return raw.recv(READ_BYTES)
                except BlockingIOError:
                    trampoline(raw, read=True)
    except TimeoutError as error:
        # A connection that TCP gave up raises the same class; it is not read again.
        if error is not timeout:
            raise
    try:
        return raw.recv(READ_BYTES)
    except BlockingIOError:
        raise timeout from None


def send_within(sock: socket.socket, data: bytes, seconds: float) -> None:
    """Write bytes; raise ``TimeoutError`` when none are taken for `seconds`."""
    rest = memoryview(data)
    while rest:
        timeout = TimeoutError("write timed out")
        try:
            with eventlet.Timeout(seconds, timeout):
                sent = sock.send(rest)
        except TimeoutError as error:
            if error is not timeout:
                raise
            try:
                sent = sock.fd.send(rest)
            except BlockingIOError:
                raise timeout from None
        rest = rest[sent:]
