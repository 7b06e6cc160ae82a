"""When a planned stop ends the calls in progress."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from cedarchute.calls.call_errors import CallRefusedError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarchute.calls.call import Call
    from cedarchute.routing.route import Route

STOPPING: Final = "box is stopping"
RETRY_AFTER_SECONDS: Final = 0.25
# Callers may not have learned of a stop that is younger, so all their calls are taken.
NOTICE_SECONDS: Final = 3.0


class ShutdownDeadline:
    """The time by which calls have their final response; none before a stop.

    Attributes
    ----------
    answers_due_at : float
        Monotonic time after which no call is waited for.
    """

    def __init__(self) -> None:
        self.begun_at = math.inf
        self.answers_due_at = math.inf

    def begin(self, begun_at: float, answers_due_at: float) -> None:
        """Set the time by which calls have to be answered."""
        self.begun_at = begun_at
        self.answers_due_at = answers_due_at

    def check(self, call: Call, route: Route, read_at: float) -> None:
        """Return if a call ends in time, however long it takes.

        Raises
        ------
        CallRefusedError
            When the stop might cut the call off; nothing ran.
        """
        if read_at - self.begun_at <= NOTICE_SECONDS:
            return
        longest = route.timeout_seconds
        if call.caller_timeout_seconds is not None:
            longest = min(longest, call.caller_timeout_seconds)
        seconds_left = self.answers_due_at - read_at
        if seconds_left < longest:
            raise make_shutdown_refusal(
                {
                    "seconds_left": round(seconds_left, 2),
                    "timeout_seconds": round(longest, 2),
                }
            )

    @property
    def is_set(self) -> bool:
        """Whether a stop has begun."""
        return self.answers_due_at != math.inf

    def limit(self, call: Call, read_at: float) -> Call:
        """Return `call` with its timeout cut to the time left."""
        if not self.is_set:
            return call
        seconds = self.answers_due_at - read_at
        if call.caller_timeout_seconds is not None:
            seconds = min(seconds, call.caller_timeout_seconds)
        return replace(call, caller_timeout_seconds=seconds)


def make_shutdown_refusal(
    facts: Mapping[str, object] | None = None,
) -> CallRefusedError:
    """Return the error of a call that a stop ends before it is sent to a target."""
    return CallRefusedError(503, STOPPING, RETRY_AFTER_SECONDS, facts)
