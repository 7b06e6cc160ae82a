"""Tells whether a target that broke off a request is gone or still listens."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from cedarchute.relay.socket_io import receive_within

if TYPE_CHECKING:
    from cedarchute.address import Address

log = logging.getLogger("cedarchute.relay")

# Within a region connections come about within milliseconds.
CONNECT_SECONDS: Final = 0.1
# How long a new connection has to stay open for its target to count as alive: a process
# that is ending may close its listener last.
STABLE_SECONDS: Final = 0.02
MAX_CONNECTS: Final = 3
SILENT: Final = "silent"


class ProbeFinding(StrEnum):
    """What new connections to an address showed."""

    REFUSED = "refused"
    OPEN = "open"
    CLOSED_AT_ONCE = "closed_at_once"
    NO_CONNECTION = "no_connection"


class TargetProbe:
    """Connects to targets that broke off requests.

    Attributes
    ----------
    running : dict of Address to Event
        Probes under way, which all requests that were on a target share.
    """

    def __init__(self) -> None:
        self.running: dict[Address, Event] = {}

    def has_ended(self, address: Address) -> bool:
        """Return whether nobody listens at `address` any more.

        False if that can't be told, as when no connection comes about in time.
        """
        running = self.running.get(address)
        if running is not None:
            return running.wait()
        running = self.running[address] = Event()
        has_ended = False
        try:
            finding = probe(address)
            log.info(
                "Target probed.", extra={"address": str(address), "finding": finding}
            )
            has_ended = finding is ProbeFinding.REFUSED
        finally:
            del self.running[address]
            running.send(has_ended)
        return has_ended


def probe(address: Address) -> ProbeFinding:
    """Return what new connections to `address` show."""
    for _ in range(MAX_CONNECTS):
        try:
            with eventlet.Timeout(CONNECT_SECONDS, TimeoutError(SILENT)):
                sock = socket.create_connection((address.host, address.port))
        except ConnectionRefusedError:
            return ProbeFinding.REFUSED
        except OSError:
            return ProbeFinding.NO_CONNECTION
        if stays_open(sock):
            return ProbeFinding.OPEN
        eventlet.sleep(STABLE_SECONDS)
    return ProbeFinding.CLOSED_AT_ONCE


def stays_open(sock: socket.socket) -> bool:
    """Return whether the other side leaves a connection open; close it."""
    try:
        return bool(receive_within(sock, STABLE_SECONDS, SILENT))
    except TimeoutError:
        return True
    except OSError:
        return False
    finally:
        sock.close()
