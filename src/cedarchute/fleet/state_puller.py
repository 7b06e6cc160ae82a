"""Asks another box what changed in the store while the store does not tell."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.address import Address
from cedarchute.fleet.box_entry import Role
from cedarchute.fleet.state_client import (
    ANSWER_SECONDS,
    StateClient,
    StateNotToldError,
)

if TYPE_CHECKING:
    import random

    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.reader_choice import ReaderChoice
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.fleet")

PERIOD_SECONDS: Final = 0.4
# A watch that was cut is back at once; boxes are asked only when it is not.
LOST_SECONDS: Final = 0.6


class StatePuller:
    """Asks one box, drawn by chance, in each period; nothing while the store answers.

    The store may turn some boxes away and serve the others: what one box knows
    reaches all within a few periods, whatever their number.
    """

    def __init__(
        self,
        mirror: StoreMirror,
        directory: BoxDirectory,
        readers: ReaderChoice,
        seeds: list[Address],
        me: str,
        chance: random.Random,
        metrics: Metrics,
    ) -> None:
        self.mirror = mirror
        self.directory = directory
        self.seeds = seeds
        self.me = me
        self.chance = chance
        self.metrics = metrics
        self.readers = readers
        self.turn = 0
        self.client = StateClient()

    def run_forever(self) -> None:
        """Look after the mirror for the life of the process."""
        while True:
            eventlet.sleep(PERIOD_SECONDS)
            if self.mirror.lost_seconds > LOST_SECONDS:
                self.pull_once()

    def pull_once(self) -> None:
        """Ask one box."""
        address = self.choose_box()
        if address is not None:
            self.pull_from(address, ANSWER_SECONDS)

    def pull_from(self, address: Address, answer_seconds: float) -> None:
        """Take in what the box at `address` knows, if it answers in time."""
        asked_at = time.monotonic()
        try:
            state = self.client.ask(
                address, self.mirror.revision or None, 0.0, answer_seconds
            )
        except StateNotToldError as error:
            self.metrics.count("state.failures")
            log.debug("Box not asked: %s", error)
            return
        if self.mirror.take_state(state, asked_at):
            self.metrics.count("state.taken")
            log.info(
                "State taken from a box.",
                extra={"box": str(address), "revision": state.revision},
            )

    def choose_box(self) -> Address | None:
        """Return a box to ask: a reader of this failure domain, any other in turn.

        Readers ask the store most often, so they know first that it is back.
        """
        self.turn += 1
        reader = self.readers.choose(self.turn // 2)
        if reader is not None and self.turn % 2:
            return Address.parse(reader.peers)
        entries = self.directory.known.entries.values()
        known = [Address.parse(e.peers) for e in entries if e.name != self.me]
        candidates = known or self.seeds
        return self.chance.choice(candidates) if candidates else None

    def choose_informed(self, turn: int) -> Address | None:
        """Return a box that may know more while the first reader is silent.

        In turn the second reader of this failure domain, which reads in place of the
        first, and an entry of another domain, which has readers of its own.
        """
        seconds = self.readers.list_readers()[1:]
        if seconds and turn % 2 == 0:
            return Address.parse(seconds[0].peers)
        domain = self.readers.me.failure_domain
        entries = self.directory.list_boxes(Role.ENTRY)
        far = [entry for entry in entries if entry.failure_domain != domain]
        return Address.parse(self.chance.choice(far).peers) if far else None
