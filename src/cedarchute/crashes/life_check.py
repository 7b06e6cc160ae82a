"""Finds out whether targets live, by their health checks."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event
from eventlet.green import socket

from cedarchute.crashes.target_life import TargetLife
from cedarchute.platform.call_headers import (
    ANSWER_ID,
    MISDIRECTED_REQUEST,
    read_instance,
    write_health_check,
)
from cedarchute.relay.target_connection import SILENT, TargetConnection
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.relay.target_probe import stays_open

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.crashes")

# Within a region connections come about within milliseconds.
CONNECT_SECONDS: Final = 0.1
# A target that is not full answers a health check at once.
ANSWER_SECONDS: Final = 0.25
# A process that is ending may close its listener last.
MAX_CONNECTS: Final = 3
RECONNECT_SECONDS: Final = 0.02


class LifeCheck:
    """Checks targets that did not answer a call.

    Parameters
    ----------
    find_health_path : Callable
        Returns the path of the health check of a service, empty if it has none.

    Attributes
    ----------
    running : dict of str to Event
        Checks under way by incarnation, which all calls that wait for one share.
    """

    def __init__(
        self, find_health_path: Callable[[str], str], metrics: Metrics
    ) -> None:
        self.find_health_path = find_health_path
        self.metrics = metrics
        self.running: dict[str, Event] = {}

    def check(
        self, target: TargetEntry, answer_seconds: float = ANSWER_SECONDS
    ) -> TargetLife:
        """Return whether the process of `target` lives."""
        running = self.running.get(target.incarnation)
        if running is not None:
            return running.wait()
        running = self.running[target.incarnation] = Event()
        life, finding = TargetLife.UNKNOWN, "check ended"
        started = time.monotonic()
        try:
            life, finding = self.find_life(target, answer_seconds)
        finally:
            del self.running[target.incarnation]
            running.send(life)
            self.metrics.count(f"targets.checked.{life}")
            log.info(
                "Target checked.",
                extra={
                    "target": target.incarnation,
                    "life": life,
                    "finding": finding,
                    "ms": round((time.monotonic() - started) * 1000, 1),
                },
            )
        return life

    def find_life(self, target: TargetEntry, seconds: float) -> tuple[TargetLife, str]:
        """Return whether a target lives, and what showed it."""
        path = self.find_health_path(target.service)
        finding = ""
        for _ in range(MAX_CONNECTS):
            try:
                sock = connect(target)
                if path:
                    return ask_health(target, path, sock, seconds)
                # Without a health check an open connection is all there is to see.
                if stays_open(sock):
                    return TargetLife.ALIVE, "open"
                finding = "closed at once"
            except ConnectionRefusedError:
                return TargetLife.ENDED, "refused"
            except TimeoutError as error:
                return TargetLife.UNKNOWN, str(error)
            except (OSError, TargetFailureError) as error:
                finding = str(error)
                if finding == SILENT:
                    break
            eventlet.sleep(RECONNECT_SECONDS)
        return TargetLife.UNKNOWN, finding


def connect(target: TargetEntry) -> socket.socket:
    """Return a new connection to a target."""
    with eventlet.Timeout(CONNECT_SECONDS, TimeoutError("no connection")):
        return socket.create_connection((target.address.host, target.address.port))


def ask_health(
    target: TargetEntry, path: str, sock: socket.socket, seconds: float
) -> tuple[TargetLife, str]:
    """Return what the answer to a health check shows; close the connection.

    Raises
    ------
    TargetFailureError
        When there is no proper answer.
    """
    connection = TargetConnection(target.address, sock)
    try:
        connection.send(write_health_check(path, target), seconds)
        deadline = time.monotonic() + seconds
        answer = connection.read_answer(b"", ANSWER_ID, deadline)
    finally:
        connection.close()
    instance = read_instance(answer)
    finding = f"status {answer.status}, instance {instance!r}"
    if instance == target.id:
        return TargetLife.ALIVE, finding
    if instance or answer.status == MISDIRECTED_REQUEST:
        return TargetLife.ENDED, finding
    return TargetLife.UNKNOWN, finding
