"""Connections to holders, kept open between requests."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.answer_bound import MAX_READ_TIMES
from cedarchute.relay.answer_too_long import AnswerPart, AnswerTooLongError
from cedarchute.relay.target_connection import (
    SILENT,
    TargetConnection,
    send_request,
)
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.turns.holder_transport import (
    RECORDS_BOUND,
    HolderAnswer,
    NoAnswerError,
)
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.relay.target_answer import TargetAnswer
    from cedarchute.turns.answer_timeout import AnswerTimeout

log = logging.getLogger("cedarchute.connections")

# Concurrent requests of a busy entry to one holder.
MAX_IDLE_PER_HOLDER: Final = 16
MAX_HOLDERS: Final = 16
# Holders keep idle connections for a minute.
KEEP_ALIVE_SECONDS: Final = 50.0
# How often a request without an answer is looked at.
LOOK_SECONDS: Final = 0.05
# For a request with many records over a slow link.
SEND_SECONDS: Final = 20.0


class HolderConnections:
    """Sends requests to holders with little work for each.

    Each call and turn takes several, so that a general client would take most of the
    processor time of an entry box.

    Parameters
    ----------
    size : int
        Idle connections kept to one address.
    hosts : int
        Addresses kept; the least recently used one is closed beyond that.
    """

    def __init__(
        self, size: int = MAX_IDLE_PER_HOLDER, hosts: int = MAX_HOLDERS
    ) -> None:
        self.size = size
        self.hosts = hosts
        self.idle: OrderedDict[Address, list[TargetConnection]] = OrderedDict()

    def post(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: AnswerTimeout,
        must_give_up: Callable[[], bool] | None = None,
    ) -> HolderAnswer:
        """Send one request: see `HolderTransport`."""
        try:
            connection = self.take(address, timeout.connect_seconds)
            head = build_head(address, path, body)
            return self.exchange(connection, head, body, timeout, must_give_up)
        except TargetFailureError as error:
            raise NoAnswerError(error.reason) from error

    def exchange(
        self,
        connection: TargetConnection,
        head: bytes,
        body: bytes,
        timeout: AnswerTimeout,
        must_give_up: Callable[[], bool] | None,
    ) -> HolderAnswer:
        """Send a request on a connection and return its answer."""
        answers = connection.reader.answers
        asked_at = time.monotonic()
        try:
            send_request(connection, head, body, SEND_SECONDS)
            deadline = time.monotonic() + MAX_READ_TIMES * timeout.read_seconds
            if must_give_up is not None:
                wait_for_bytes(connection, timeout.read_seconds, must_give_up)
            while not answers or not answers[0].is_complete:
                check_bounds(answers, deadline)
                asked_at = time.monotonic()
                connection.receive(timeout.read_seconds)
        except BaseException:
            connection.close()
            if time.monotonic() - asked_at >= timeout.read_seconds:
                self.drop(connection.address)
            raise
        return self.finish(connection, answers[0])

    def take(self, address: Address, seconds: float) -> TargetConnection:
        """Return an idle connection, or open one within `seconds`."""
        connections = self.idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_available:
                return connection
            connection.close()
        connection = TargetConnection.open(address, seconds)
        connection.keep_alive_seconds = KEEP_ALIVE_SECONDS
        return connection

    def finish(
        self, connection: TargetConnection, answer: TargetAnswer
    ) -> HolderAnswer:
        """Keep the connection for later requests; return the answer."""
        connection.finish(answer)
        kept = self.idle.setdefault(connection.address, [])
        self.idle.move_to_end(connection.address)
        if connection.is_available and len(kept) < self.size:
            kept.append(connection)
        else:
            connection.close()
        if len(self.idle) > self.hosts:
            self.close_all(self.idle.popitem(last=False)[1])
        return HolderAnswer(answer.status, answer.take_parts())

    def drop(self, address: Address) -> None:
        """Close the idle connections to an address."""
        self.close_all(self.idle.pop(address, []))
        log.info("Idle connections dropped.", extra={"address": str(address)})

    def close_all(self, connections: list[TargetConnection]) -> None:
        """Close idle connections."""
        for connection in connections:
            connection.close()


def check_bounds(answers: deque[TargetAnswer], deadline: float) -> None:
    """Raise `TargetFailureError` if an answer is too long or takes too long."""
    if answers and sum(map(len, answers[0].parts)) > RECORDS_BOUND.max_bytes:
        raise AnswerTooLongError(AnswerPart.BODY, RECORDS_BOUND.max_bytes)
    if time.monotonic() > deadline:
        raise TargetFailureError("answer takes too long", Verdict.MAY_HAVE_RUN)


def build_head(address: Address, path: str, body: bytes) -> bytes:
    """Return the head of a request with a JSON body."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode()


def wait_for_bytes(
    connection: TargetConnection, seconds: float, must_give_up: Callable[[], bool]
) -> None:
    """Return once bytes have come or `seconds` are over.

    Raises
    ------
    TargetFailureError
        When `must_give_up` says so before.
    """
    deadline = time.monotonic() + seconds - LOOK_SECONDS
    while time.monotonic() < deadline:
        try:
            connection.receive(LOOK_SECONDS)
            return
        except TargetFailureError as error:
            if error.reason != SILENT or must_give_up():
                raise
