"""Replays a burst of calls on few places, without a network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cedarchute.waiting.line_order import LineOrder
from cedarchute.waiting.waiting_call import WaitingCall

SERVICE = "s"
STEP = 0.01
PLACES = 10
TURN_SECONDS = 0.4
# A quarter of an objective of two seconds.
MAX_WAIT = 0.5
TIMEOUT = 8.0


@dataclass
class Kind:
    """Calls that arrive at a rate, multiplied during the burst."""

    rank: int
    rate: float
    factor: float = 1.0
    is_under_way: bool = False


@dataclass
class Result:
    """What became of one call."""

    kind: Kind
    call: WaitingCall
    started_at: float | None = None
    refused_at: float | None = None
    retry_after: float | None = None


class Polling:
    """Today's rule: each call looks again by itself until its wait is over."""

    def __init__(self, chance):
        self.chance = chance
        self.waiting = []

    def is_behind(self, call, now):
        return False

    def enter(self, call, now):
        self.waiting.append(call)
        return []

    def take_next(self, service, now):
        if not self.waiting:
            return None
        return self.waiting.pop(self.chance.randrange(len(self.waiting)))

    def refuse_late(self, service, now):
        late = [call for call in self.waiting if now >= call.latest_start]
        self.waiting = [call for call in self.waiting if now < call.latest_start]
        return [(call, 0.15) for call in late]

    def record_placed(self, call, has_waited, now):
        pass


class Ordered:
    """The line of a box."""

    def __init__(self, max_calls=64):
        self.order = LineOrder(max_calls)
        self.take_next = self.order.take_next
        self.record_placed = self.order.record_placed

    def is_behind(self, call, now):
        return self.order.count_ahead(call, now) > 0

    def enter(self, call, now):
        return self.strip(self.order.enter(call, now))

    def refuse_late(self, service, now):
        return self.strip(self.order.refuse_late(service, now))

    def strip(self, refusals):
        return [(each.call, each.retry_after_seconds) for each in refusals]


@dataclass
class BurstReplay:
    """Steps through arrivals, ends and waits of calls at the places of one service."""

    line: object
    kinds: list[Kind]
    seed: int
    burst: tuple[float, float] = (4.0, 12.0)
    seconds: float = 16.0
    results: dict[int, Result] = field(default_factory=dict)
    ends: list[float] = field(default_factory=list)

    def run(self):
        """Return the results of the calls that arrived in the burst."""
        chance = random.Random(self.seed)
        now = 0.0
        while now < self.seconds:
            self.ends = [end for end in self.ends if end > now]
            for kind in self.kinds:
                in_burst = self.burst[0] <= now < self.burst[1]
                rate = kind.rate * (kind.factor if in_burst else 1.0)
                if chance.random() < rate * STEP:
                    self.arrive(kind, now, chance)
            self.refuse(self.line.refuse_late(SERVICE, now), now)
            while len(self.ends) < PLACES:
                call = self.line.take_next(SERVICE, now)
                if call is None:
                    break
                self.start(call, now)
            now += STEP
        start, end = self.burst
        return [
            result
            for result in self.results.values()
            if start <= result.call.entered_at < end
        ]

    def arrive(self, kind, now, chance):
        number = len(self.results)
        call = WaitingCall(
            str(number),
            SERVICE,
            0,
            kind.rank,
            kind.is_under_way,
            None,
            now,
            now + TIMEOUT,
            now + MAX_WAIT,
        )
        self.results[id(call)] = Result(kind, call)
        if len(self.ends) < PLACES and not self.line.is_behind(call, now):
            self.start(call, now)
        else:
            self.refuse(self.line.enter(call, now), now)

    def start(self, call, now):
        self.results[id(call)].started_at = now
        # Drawn by the call, so that both rules are given the same load.
        length = random.Random(f"{self.seed} {call.id}").uniform(0.5, 1.5)
        self.ends.append(now + TURN_SECONDS * length)
        self.line.record_placed(call, now > call.entered_at, now)

    def refuse(self, refusals, now):
        for call, retry_after in refusals:
            result = self.results[id(call)]
            result.refused_at = now
            result.retry_after = retry_after
