"""Decides which waiting call goes next, and which can't be served in time.

Answers demand beyond the places of all targets for a few seconds: urgent calls go
first, and calls whose turn would come too late are refused while their callers can
still use the time.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from cedarchute.waiting.line_refusal import LineRefusal, RefusalReason
from cedarchute.waiting.placing_rate import PlacingRate
from cedarchute.waiting.return_spread import ReturnSpread
from cedarchute.waiting.sort_key import compute_sort_key, find_standing

if TYPE_CHECKING:
    from cedarchute.waiting.sort_key import Standing
    from cedarchute.waiting.waiting_call import WaitingCall


class LineOrder:
    """The calls that wait in one box, by service.

    Holds no tasks and reads no clock: the times it is given are monotonic.
    """

    def __init__(self, max_calls: int) -> None:
        self.max_calls = max_calls
        self.waiting: list[WaitingCall] = []
        self.rates: defaultdict[str, PlacingRate] = defaultdict(PlacingRate)
        self.returns = ReturnSpread()

    def enter(self, call: WaitingCall, now: float) -> list[LineRefusal]:
        """Let a call wait; return the calls that are refused, perhaps itself."""
        self.advance(call.service, now)
        self.waiting.append(call)
        refusals = []
        if len(self.waiting) > self.max_calls:
            last = max(self.waiting, key=lambda each: compute_sort_key(each, now))
            refusals.append(self.refuse(last, RefusalReason.LINE_FULL, now))
        return refusals + self.refuse_late(call.service, now)

    def refuse_late(self, service: str, now: float) -> list[LineRefusal]:
        """Refuse the calls whose expected turn comes after their latest start.

        The first one waits until then in any case: what it finds keeps the rate known.
        """
        refusals = []
        ahead: Counter[Standing] = Counter()
        for call in self.sort(service, now):
            if now + self.estimate_wait(call, ahead) < call.latest_start:
                ahead[find_standing(call)] += 1
                continue
            refusals.append(self.refuse(call, RefusalReason.NOT_IN_TIME, now))
        return refusals

    def estimate_wait(self, call: WaitingCall, ahead: Counter[Standing]) -> float:
        """Return the seconds until the expected turn of a call, 0 if unknown.

        Parameters
        ----------
        ahead : Counter
            Calls that go before it, by their standing.
        """
        standing = find_standing(call)
        rates = self.rates[call.service]
        rate = rates.measure(standing)
        if not ahead or rate is None:
            return 0.0
        first_rate = rates.measure(min(ahead)) or rate
        urgent = sum(count for key, count in ahead.items() if key < standing)
        others = ahead.total() - urgent
        return urgent / first_rate + (others + 1) / rate

    def refuse(
        self, call: WaitingCall, reason: RefusalReason, now: float
    ) -> LineRefusal:
        """Take a call out of the line and say when its caller may come back."""
        ahead = self.count_ahead(call, now)
        self.leave(call, now)
        rate = self.rates[call.service].measure(find_standing(call))
        seconds = self.returns.pick_seconds(now, call.deadline, rate)
        return LineRefusal(call, reason, seconds, ahead, rate)

    def take_next(self, service: str, now: float) -> WaitingCall | None:
        """Return the most urgent call of a service, which waits no longer."""
        ordered = self.sort(service, now)
        if not ordered:
            return None
        self.leave(ordered[0], now)
        return ordered[0]

    def leave(self, call: WaitingCall, now: float) -> None:
        """Take a call out of the line if it is there."""
        self.advance(call.service, now)
        # By identity: two requests of a caller may carry the same id.
        self.waiting = [each for each in self.waiting if each is not call]

    def record_placed(self, call: WaitingCall, has_waited: bool, now: float) -> None:
        """Count a call that got a place, if it or others waited for one."""
        if has_waited or self.is_waited_for(call.service):
            self.advance(call.service, now)
            self.rates[call.service].record_placed(find_standing(call))

    def count_ahead(self, call: WaitingCall, now: float) -> int:
        """Return the number of calls that go before this one."""
        key = compute_sort_key(call, now)
        return sum(
            1
            for each in self.waiting
            if each.service == call.service and compute_sort_key(each, now) < key
        )

    def sort(self, service: str, now: float) -> list[WaitingCall]:
        """Return the calls that wait for a service, the most urgent one first."""
        calls = [call for call in self.waiting if call.service == service]
        return sorted(calls, key=lambda call: compute_sort_key(call, now))

    def is_waited_for(self, service: str) -> bool:
        """Return whether calls wait for a service."""
        return any(call.service == service for call in self.waiting)

    def advance(self, service: str, now: float) -> None:
        """Bring the rate of a service up to `now`; before the line changes."""
        self.rates[service].advance(now, self.is_waited_for(service))
