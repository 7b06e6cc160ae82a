"""Guards against a view that claims to be more current than it is.

A box that has not learned a change must not call its view as new as that change,
whatever befell the links, the readers and the store in what order.
"""

from __future__ import annotations

import random
import time

import eventlet
import pytest
from virtual_fleet import VirtualFleet
from virtual_hub import run_in_virtual_time

from cedarchute.platform.keys import TARGETS

DOMAINS = {"a": 4, "b": 3, "c": 2}
STARTUP_SECONDS = 8.0
PLAY_SECONDS = 30.0
LOOK_SECONDS = 0.05
# Changes and faults a second; faults overlap.
CHANGE_RATE = 1.5
FAULT_RATE = 1.0
MAX_FAULT_SECONDS = 4.0
# Rounding of the clock.
TOLERANCE_SECONDS = 1e-6
SEEDS = range(12)


class FaultPlayer:
    """Draws faults and changes, and keeps when each change was made."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.chance = random.Random(seed)
        self.changed_at = {}
        self.keys = {}
        self.faults = 0

    def change_forever(self):
        while True:
            eventlet.sleep(self.chance.expovariate(CHANGE_RATE))
            key = f"{TARGETS}t-{self.chance.randrange(4)}"
            value = self.fleet.change(key)
            self.changed_at[value] = time.monotonic()
            self.keys[value] = key

    def fault_forever(self):
        while True:
            eventlet.sleep(self.chance.expovariate(FAULT_RATE))
            self.faults += 1
            eventlet.spawn_n(self.chance.choice(self.FAULTS), self)

    def draw_box(self):
        return self.chance.choice(sorted(self.fleet.boxes))

    def pause(self):
        eventlet.sleep(self.chance.uniform(0, MAX_FAULT_SECONDS))

    def cut_from_store(self):
        name = self.draw_box()
        self.fleet.cut(name)
        self.pause()
        self.fleet.cuts.clear()

    def isolate(self):
        self.fleet.isolate(self.draw_box())
        self.pause()
        self.fleet.cuts.clear()

    def drop_pending(self):
        self.fleet.drop_pending(self.draw_box())

    def reject(self):
        name = self.draw_box()
        self.fleet.reject(name)
        self.pause()
        self.fleet.rejected.discard(name)

    def slow_store(self):
        self.fleet.store.delay = self.chance.uniform(0, 0.5)
        self.pause()
        self.fleet.store.delay = 0.0

    def stop_store(self):
        self.fleet.store.down = True
        self.pause()
        self.fleet.store.down = False

    def forget_history(self):
        self.fleet.ask_store("POST", "/switch", b'{"compact": true}')

    FAULTS = (
        cut_from_store,
        isolate,
        drop_pending,
        reject,
        slow_store,
        stop_store,
        forget_history,
    )


def find_false_claims(fleet, player):
    """Return the boxes that claim a view newer than a change that they lack."""
    claims = []
    for box in fleet.boxes.values():
        complete_at = box.parts.mirror.completeness.proven_at
        known = {}
        for value in sorted(box.arrivals.times):
            known[player.keys.get(value)] = value
        claims += [
            (box.name, value)
            for value, changed_at in player.changed_at.items()
            if value > known.get(player.keys[value], 0)
            and complete_at > changed_at + TOLERANCE_SECONDS
        ]
    return claims


@pytest.mark.parametrize("seed", SEEDS)
def test_no_box_calls_its_view_newer_than_a_change_that_it_lacks(monkeypatch, seed):
    seen = []

    def play():
        fleet = VirtualFleet(monkeypatch, DOMAINS)
        fleet.change()
        fleet.start()
        eventlet.sleep(STARTUP_SECONDS)
        player = FaultPlayer(fleet, seed)
        eventlet.spawn_n(player.change_forever)
        eventlet.spawn_n(player.fault_forever)
        until = time.monotonic() + PLAY_SECONDS
        while time.monotonic() < until:
            eventlet.sleep(LOOK_SECONDS)
            seen.extend(find_false_claims(fleet, player))
        assert player.faults

    run_in_virtual_time(monkeypatch, play)
    assert seen == []
