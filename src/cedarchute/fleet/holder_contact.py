"""Sends callers to other boxes while this one cannot reach a quorum of holders."""

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
    """Tracks the results of turn writes; probes the holders only while they fail.

    Parameters
    ----------
    tell_boxes : Callable
        Tells other boxes whether this one is isolated; it may be called with the same
        state again.
    """

    def __init__(
        self,
        quorum: TurnQuorum,
        registration: Registration,
        is_stopping: Callable[[], bool],
        tell_boxes: Callable[[bool], None] = lambda isolated: None,
    ) -> None:
        self.tell_boxes = tell_boxes
        self.quorum = quorum
        self.registration = registration
        self.is_stopping = is_stopping
        self.isolated = False
        self.last_facts: dict[str, object] = {}

    def run_forever(self) -> None:
        """Check the connection to the holders until the process ends."""
        while True:
            eventlet.sleep(PERIOD_SECONDS)
            if not self.is_stopping():
                self.check_once()

    def check_once(self) -> None:
        """Publish whether this box is isolated from the holders."""
        if self.quorum.fanout.failing_since is not None:
            # A probe takes longer than telling other boxes.
            self.tell_boxes(self.quorum.fanout.is_isolated)
            self.try_probe()
        isolated = self.quorum.fanout.is_isolated
        # A stop that began during the probe has published this box as draining.
        if self.is_stopping():
            return
        self.tell_boxes(isolated)
        self.log_changes(isolated)
        if isolated == self.isolated:
            return
        self.isolated = isolated
        self.registration.publish_isolated(isolated)

    def log_changes(self, isolated: bool) -> None:
        """Log contact that is lost or back, and each change of what holders say."""
        facts = self.quorum.fanout.explain_failures() if isolated else {}
        if isolated and facts != self.last_facts:
            log.warning("Holders unreachable.", extra=facts)
        elif self.isolated and not isolated:
            log.warning("Holders reachable again.")
        self.last_facts = facts

    def try_probe(self) -> None:
        """Probe whether the holders respond again."""
        try:
            self.quorum.probe()
        except NoQuorumError as error:
            log.debug("Holder probe failed: %s", error)
