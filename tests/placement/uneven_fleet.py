"""Boxes of one failure domain and uneven targets with lines, in virtual time."""

from __future__ import annotations

import random
from collections import deque

from cedarchute.address import Address
from cedarchute.fleet.news_exchange import NewsExchange
from cedarchute.metrics import Metrics
from cedarchute.placement.paced_selection import PacedSelection
from cedarchute.placement.target_knowledge import NoKnowledge
from cedarchute.routing.load_balancer import LoadBalancer
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_placement import TargetPlacement
from cedarchute.routing.target_registry import TargetRegistry

PLACES = 6
SPEEDS = (0.7, 0.7, 1.7)
TURN_SECONDS = 2.0
TURNS = 4
POLL_SECONDS = 1.2
BOXES, TARGETS = 22, 15
SLOW_FACTOR, SLOW_SECONDS, SLOW_SHARE = 2.5, 0.6, 1 / 7


class UnevenTarget:
    """Runs calls in its places; the others stand in line."""

    def __init__(self, fleet, speed):
        self.fleet, self.speed = fleet, speed
        self.slow_until = 0.0
        self.running = 0
        self.line = deque()

    def begin(self, seconds, done):
        self.line.append((self.fleet.timeline.now, seconds, done))
        self.run_next()

    def run_next(self):
        while self.line and self.running < PLACES:
            asked_at, seconds, done = self.line.popleft()
            now = self.fleet.timeline.now
            self.fleet.line_seconds.append(now - asked_at)
            self.running += 1
            seconds /= self.speed
            seconds += max(0.0, self.slow_until - now) * (1 - 1 / SLOW_FACTOR)
            self.fleet.timeline.after(seconds, lambda done=done: self.end(done))

    def end(self, done):
        self.running -= 1
        done()
        self.run_next()


class UnevenFleet:
    """Plays programs of a few turns; the boxes choose with the code of the product."""

    def __init__(self, timeline, seed, by_pace, news, news_lost=0.1):
        # Separate sources: the load is the same whatever boxes choose.
        self.timeline, self.chance = timeline, random.Random(seed)
        self.load_chance, self.slow_chance = random.Random(seed), random.Random(seed)
        self.news_lost, self.news_chance = news_lost, random.Random(seed)
        self.line_seconds, self.slowest = [], []
        self.targets = {
            f"t-{n}": UnevenTarget(self, SPEEDS[n % 3]) for n in range(TARGETS)
        }
        registry = TargetRegistry(lambda entry: None)
        for name in self.targets:
            address = Address("10.0.0.1", 80)
            registry.put(TargetEntry(name, "s", address, "a", True, PLACES))
        self.boxes = [
            self.make_box(f"box-{n}", registry, by_pace, news) for n in range(BOXES)
        ]

    def make_box(self, name, registry, by_pace, tells):
        news, metrics = NewsExchange(name, lambda: tells, Metrics()), Metrics()
        placement = TargetPlacement(
            PacedSelection(self.chance),
            news if tells else NoKnowledge(),
            lambda service: by_pace,
            metrics,
        )
        box = LoadBalancer(registry, "a", self.chance, lambda _: True, placement)
        news.targets.list_reports = box.list_reports
        box.news = news
        return box

    def play(self, seconds, rate):
        """Play a load whose rate rises 2.3 times for three seconds of each ten."""
        self.timeline.after(0.0, lambda: self.arrive(seconds, rate))
        self.timeline.after(0.0, self.slow_down)
        for box in self.boxes[1:]:
            self.timeline.after(
                self.news_chance.random(), lambda box=box: self.poll(box)
            )
        self.timeline.run(seconds + 30.0)

    def arrive(self, until, rate):
        now = self.timeline.now
        if now > until:
            return
        burst = 2.3 if now % 10.0 >= 7.0 else 1.0
        self.timeline.after(
            self.load_chance.expovariate(rate * burst), lambda: self.arrive(until, rate)
        )
        spread = [self.load_chance.uniform(0.5, 1.5) for _ in range(TURNS)]
        work = [TURN_SECONDS * part for part in spread]
        self.run_turn(self.load_chance.choice(self.boxes), work, [])

    def run_turn(self, box, work, turns):
        if not work:
            self.slowest.append(max(turns))
            return
        began_at = self.timeline.now
        name = box.select_target("s", set()).id
        load = box.loads[name]
        load.active += 1

        def end():
            load.active -= 1
            load.record_answer(self.timeline.now - began_at)
            self.run_turn(box, work[1:], [*turns, self.timeline.now - began_at])

        self.targets[name].begin(work[0], end)

    def poll(self, box):
        """Tell the first box what this one saw, and hear it when the poll ends."""
        self.timeline.after(POLL_SECONDS, lambda: self.poll(box))
        reader, own = self.boxes[0].news, box.news.make_own()
        if own is None or self.news_chance.random() < self.news_lost:
            return
        reader.take_box(own)
        self.timeline.after(
            POLL_SECONDS - 0.01,
            lambda: box.news.take_domain(reader.make_domain(own.box)),
        )

    def slow_down(self):
        self.timeline.after(SLOW_SECONDS, self.slow_down)
        for target in self.targets.values():
            if self.slow_chance.random() < SLOW_SHARE:
                target.slow_until = self.timeline.now + SLOW_SECONDS
