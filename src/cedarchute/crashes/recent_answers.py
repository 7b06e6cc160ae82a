"""The requests that targets answered lately."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.calls.call import Call
    from cedarchute.relay.caller_request import CallerRequest

MAX_REQUESTS: Final = 4096
# As long as counts of crashes are valid.
VALID_SECONDS: Final = 60.0


class RecentAnswers:
    """Remembers answered requests, the newest ones, by a hash that costs little.

    A request that many callers send runs on several targets at once. If those go dark
    together, its earlier answers are what tells it from one that ends its targets.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.answered_at: OrderedDict[int, float] = OrderedDict()

    def add(self, request: CallerRequest, call: Call) -> None:
        """Record that a target answered a request without an error."""
        key = make_key(request, call)
        self.answered_at[key] = self.clock()
        self.answered_at.move_to_end(key)
        if len(self.answered_at) > MAX_REQUESTS:
            self.answered_at.popitem(last=False)

    def has(self, request: CallerRequest, call: Call) -> bool:
        """Return whether a request was answered lately."""
        answered_at = self.answered_at.get(make_key(request, call))
        return answered_at is not None and self.clock() < answered_at + VALID_SECONDS


def make_key(request: CallerRequest, call: Call) -> int:
    """Return a hash that all attempts of a request share."""
    context = call.program
    return hash(
        (
            call.workspace,
            context.program,
            context.previous_turn,
            request.host,
            request.method,
            request.target,
            request.body,
        )
    )
