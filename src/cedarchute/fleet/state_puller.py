"""Pulls store state from other boxes while the store is unavailable."""

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
    StateUnavailableError,
)

if TYPE_CHECKING:
    import random

    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.fleet.reader_choice import ReaderChoice
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.fleet")

PERIOD_SECONDS: Final = 0.4
# A dropped watch reconnects at once; other boxes are queried only in longer outages.
UNAVAILABLE_SECONDS: Final = 0.6


class StatePuller:
    """Pulls from one random box per period while the store is unavailable.

    The store may be reachable from some boxes only. Pulling spreads their state like a
    gossip protocol: it reaches all boxes within a few periods, whatever their number.
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
        self.poll_number = 0
        self.client = StateClient()

    def run_forever(self) -> None:
        """Pull whenever the store is unavailable, until the process ends."""
        while True:
            eventlet.sleep(PERIOD_SECONDS)
            if self.mirror.unavailable_seconds > UNAVAILABLE_SECONDS:
                self.pull_once()

    def pull_once(self) -> None:
        """Pull from one box."""
        address = self.choose_peer()
        if address is not None:
            self.pull_from(address, ANSWER_SECONDS)

    def pull_from(self, address: Address, answer_seconds: float) -> None:
        """Apply the state of the box at `address`, if it responds in time."""
        asked_at = time.monotonic()
        try:
            state = self.client.ask(
                address, self.mirror.revision or None, 0.0, answer_seconds
            )
        except StateUnavailableError as error:
            self.metrics.count("state.failures")
            log.debug("State request failed: %s", error)
            return
        if self.mirror.take_state(state, asked_at):
            self.metrics.count("state.taken")
            log.info(
                "Applied state from another box.",
                extra={"box": str(address), "revision": state.revision},
            )

    def choose_peer(self) -> Address | None:
        """Return a peer: a reader of this domain and any other box, alternately.

        Readers query the store most often, so they notice its recovery first.
        """
        self.poll_number += 1
        reader = self.readers.choose(self.poll_number // 2)
        if reader is not None and self.poll_number % 2:
            return Address.parse(reader.peers)
        entries = self.directory.known.entries.values()
        known = [Address.parse(e.peers) for e in entries if e.name != self.me]
        candidates = known or self.seeds
        return self.chance.choice(candidates) if candidates else None

    def choose_refresh_peer(self, poll_number: int) -> Address | None:
        """Return a peer that may have a newer state while the first reader is silent.

        Alternates between the second reader of this failure domain, which replaces the
        first, and an entry box of another domain, which has its own readers.
        """
        second_readers = self.readers.list_readers()[1:]
        if second_readers and poll_number % 2 == 0:
            return Address.parse(second_readers[0].peers)
        domain = self.readers.me.failure_domain
        entries = self.directory.list_boxes(Role.ENTRY)
        remote = [entry for entry in entries if entry.failure_domain != domain]
        return Address.parse(self.chance.choice(remote).peers) if remote else None
