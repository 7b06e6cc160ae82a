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
# Time that a call without a stream needs on a route that has answered none yet.
UNKNOWN_OBJECTIVES: Final = 2.0
# Weight of the newest call in the decay of a route's longest duration.
DECAY: Final = 0.02
MAX_ROUTES: Final = 1024


class ShutdownDeadline:
    """The time by which calls have their final response; none before a stop.

    Attributes
    ----------
    answers_due_at : float
        Monotonic time after which no call is waited for.
    longest_seconds : dict
        Duration of the longest recent calls, by route.
    """

    def __init__(self) -> None:
        self.begun_at = math.inf
        self.answers_due_at = math.inf
        self.longest_seconds: dict[str, float] = {}

    def begin(self, begun_at: float, answers_due_at: float) -> None:
        """Set the time by which calls have to be answered."""
        self.begun_at = begun_at
        self.answers_due_at = answers_due_at

    def record_duration(self, route: Route, seconds: float) -> None:
        """Take in how long a call took that was answered."""
        if len(self.longest_seconds) >= MAX_ROUTES:
            self.longest_seconds.clear()
        longest = self.longest_seconds.get(route.name, 0.0)
        longest += DECAY * (seconds - longest)
        self.longest_seconds[route.name] = max(longest, seconds)

    def check(self, call: Call, route: Route, read_at: float) -> None:
        """Return if a call can be expected to finish in time.

        Raises
        ------
        CallRefusedError
            When the stop would probably cut the call off; nothing ran.
        """
        if read_at - self.begun_at <= NOTICE_SECONDS:
            return
        seconds_left = self.answers_due_at - read_at
        expected = self.estimate_duration(call, route)
        if seconds_left < expected:
            raise make_shutdown_refusal(
                {
                    "seconds_left": round(seconds_left, 2),
                    "expected_seconds": round(expected, 2),
                }
            )

    def estimate_duration(self, call: Call, route: Route) -> float:
        """Return how long a call takes at most, as far as is known."""
        limit = route.timeout_seconds
        if call.caller_timeout_seconds is not None:
            limit = min(limit, call.caller_timeout_seconds)
        unknown = (
            limit if route.is_stream else UNKNOWN_OBJECTIVES * route.objective_seconds
        )
        return min(limit, self.longest_seconds.get(route.name, unknown))

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
