"""Sends callers elsewhere while this box is cut off from the holders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.turns.holder_fanout import NoQuorumError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.fleet.registration import Registration
    from cedarchute.turns.turn_quorum import TurnQuorum

log = logging.getLogger("cedarchute.fleet")

PERIOD_SECONDS: Final = 0.5


class HolderContact:
    """Watches what turns meet; probes only while they are refused."""

    def __init__(
        self,
        quorum: TurnQuorum,
        registration: Registration,
        is_stopping: Callable[[], bool],
    ) -> None:
        self.quorum = quorum
        self.registration = registration
        self.is_stopping = is_stopping
        self.lost = False

    def run_forever(self) -> None:
        """Look after the contact for the life of the process."""
        while True:
            eventlet.sleep(PERIOD_SECONDS)
            if not self.is_stopping():
                self.check_once()

    def check_once(self) -> None:
        """Take this box out of the list of entries, or put it back."""
        if self.quorum.fanout.failing_since is not None:
            self.try_probe()
        lost = self.quorum.fanout.is_isolated
        if lost == self.lost:
            return
        self.lost = lost
        log.warning("Holders lost." if lost else "Holders answer.")
        self.registration.tell_leaving(lost)

    def try_probe(self) -> None:
        """Find out whether the holders answer again."""
        try:
            self.quorum.probe()
        except NoQuorumError as error:
            log.debug("Holders do not answer: %s", error)
