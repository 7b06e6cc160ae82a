"""Sends a call to one target and reads the head of its answer."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.platform.call_headers import (
    ANSWER_ID,
    says_not_run,
    write_target_headers,
)
from cedarchute.record import MutableRecord
from cedarchute.relay.target_failure import TargetFailureError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.caller_identity import CallerIdentity
    from cedarchute.calls.key_authenticator import KeyAuthenticator
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_answer import TargetAnswer
    from cedarchute.relay.target_connection import TargetConnection
    from cedarchute.relay.target_pool import TargetPool
    from cedarchute.routing.load_balancer import LoadBalancer
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.calls")

METHODS_WITHOUT_BODY = frozenset((b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"))
# From here on a status says that the target itself failed, but for one.
SERVER_ERROR = 500
TIMED_OUT = 504
# Its address was handed on, or its entry names an address that was never its own.
ANOTHER_TARGET = 421
# A target that is full has room again once one of its requests ends.
FULL_PAUSE_SECONDS = 0.05
# A caller that left after its target said nothing for this long left because of that:
# callers of streams wait at least two seconds for an event.
SILENT_SECONDS = 1.5


class OpenResponse(MutableRecord):
    """An answer whose head is read, on the connection that brings the rest."""

    target: TargetEntry
    connection: TargetConnection
    answer: TargetAnswer
    sent_at: float
    silent_until: float


class TargetClient:
    """What every call needs of targets; keeps the books on each of them."""

    def __init__(
        self,
        pool: TargetPool,
        choice: LoadBalancer,
        keys: KeyAuthenticator,
        metrics: Metrics,
    ) -> None:
        self.pool = pool
        self.keys = keys
        self.choice = choice
        self.metrics = metrics

    def open(
        self,
        request: CallerRequest,
        call: Call,
        target: TargetEntry,
        body: bytes,
        until: float,
        silent_until: float,
    ) -> OpenResponse:
        """Send a call to `target` and wait for the head of its answer.

        Parameters
        ----------
        until : float
            When the call is over; the target is told.
        silent_until : float
            How long the target may be silent; another is tried then.

        Raises
        ------
        TargetFailureError
            With the verdict that the failure allows.
        CallRefusedError
            When its key lets nothing pass any more; this target has not run it.
        """
        load = self.choice.loads[target.incarnation]
        load.active += 1
        sent_at = time.monotonic()
        connection = None
        try:
            connection = self.pool.take(target.address, until - sent_at)
            seconds_left = until - time.monotonic()
            head = build_request(
                request, target, body, seconds_left, call.caller_identity
            )
            self.keys.confirm(call)
            connection.send(head + body, until - time.monotonic())
            call_id = call.id.encode("latin-1")
            answer = connection.read_answer(call_id, ANSWER_ID, silent_until)
            if says_not_run(answer):
                refused, connection = connection, None
                self.finish_refusal(refused, answer, until)
                if answer.status == ANOTHER_TARGET:
                    reason = "another target answers at its address"
                    raise TargetFailureError(reason, Verdict.NOT_RUN)
                load.record_overload(FULL_PAUSE_SECONDS)
                reason = f"refused with {answer.status}"
                raise TargetFailureError(reason, Verdict.NOT_RUN)
        except BaseException as error:
            load.active -= 1
            if connection is not None:
                connection.close()
            if isinstance(error, TargetFailureError):
                self.note_failure(target, call, error)
            elif time.monotonic() - sent_at > SILENT_SECONDS:
                load.record_failure()
            raise
        return OpenResponse(target, connection, answer, sent_at, silent_until)

    def finish_refusal(
        self, connection: TargetConnection, answer: TargetAnswer, until: float
    ) -> None:
        """Read a refusal to its end, so that its connection can be kept."""
        try:
            while not answer.is_complete:
                connection.receive(until - time.monotonic())
            connection.finish(answer)
            self.pool.give_back(connection)
        except TargetFailureError:
            connection.close()

    def note_failure(
        self, target: TargetEntry, call: Call, error: TargetFailureError
    ) -> None:
        """Count a failure, and leave a target alone that does not answer."""
        self.metrics.count("targets.failures")
        if not error.reason.startswith("refused"):
            self.choice.loads[target.incarnation].record_failure()
        log.info(
            "Target failed.",
            extra={
                "target": target.id,
                "why": error.reason,
                "verdict": error.verdict,
            },
        )

    def read_rest(self, opened: OpenResponse) -> bytes:
        """Return the whole body of an answer."""
        answer = opened.answer
        parts = [answer.take_parts()]
        while not answer.is_complete:
            opened.connection.receive(opened.silent_until - time.monotonic())
            parts.append(answer.take_parts())
        return b"".join(parts)

    def finish(self, opened: OpenResponse) -> None:
        """Keep the connection of an answer that was read whole."""
        seconds = time.monotonic() - opened.sent_at
        load = self.choice.loads[opened.target.incarnation]
        load.active -= 1
        if is_own_fault(opened.answer.status):
            self.metrics.count("targets.errors")
            load.record_failure()
        else:
            load.record_answer(seconds)
        self.metrics.time("targets.seconds", seconds)
        opened.connection.finish(opened.answer)
        self.pool.give_back(opened.connection)

    def abandon(self, opened: OpenResponse) -> None:
        """Close the connection of an answer that nobody waits for."""
        self.choice.loads[opened.target.incarnation].active -= 1
        opened.connection.close()


def is_own_fault(status: int) -> bool:
    """Return whether a target answered that it failed.

    Such answers come fast: taken for answers like others, a target that fails every
    call would look like the best one. A timeout says that the call took long.
    """
    return status >= SERVER_ERROR and status != TIMED_OUT


def build_request(
    request: CallerRequest,
    target: TargetEntry,
    body: bytes,
    seconds_left: float,
    caller_identity: CallerIdentity | None,
) -> bytes:
    """Return the head of a request to a target."""
    headers = write_target_headers(request, target, seconds_left, caller_identity)
    line = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
    if body or request.method not in METHODS_WITHOUT_BODY:
        headers = headers.extend((b"Content-Length", b"%d" % len(body)))
    return line + headers.encode() + b"\r\n"
