"""When a planned stop ends the calls in progress."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from cedarchute.calls.call_errors import CallRefusedError

if TYPE_CHECKING:
    from cedarchute.calls.call import Call

STOPPING: Final = "box is stopping"
RETRY_AFTER_SECONDS: Final = 0.25


class ShutdownDeadline:
    """The time by which calls have their final response; none before a stop.

    Attributes
    ----------
    answers_due_at : float
        Monotonic time after which no call is waited for.
    """

    def __init__(self) -> None:
        self.answers_due_at = math.inf

    def begin(self, answers_due_at: float) -> None:
        """Set the time by which calls have to be answered."""
        self.answers_due_at = answers_due_at

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


def make_shutdown_refusal() -> CallRefusedError:
    """Return the error of a call that a stop ends before it is sent to a target."""
    return CallRefusedError(503, STOPPING, RETRY_AFTER_SECONDS)
