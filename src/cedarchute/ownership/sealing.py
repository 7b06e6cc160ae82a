"""Seals the copies of one partition at its holders, side by side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.clock import Clock
    from cedarchute.copies.messages import SealReply
    from cedarchute.copies.owned_partition import OwnedPartition

# Once enough have answered, the others have this much time in all.
WAIT_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.3
POLL_SECONDS: Final = 0.1


class Sealing:
    """One task for each holder: a holder that says nothing holds up no other.

    Parameters
    ----------
    seal : Callable
        Asks one holder; None when it did not seal.
    """

    def __init__(
        self,
        partition: OwnedPartition,
        seal: Callable[[str], SealReply | None],
        clock: Clock,
    ) -> None:
        self.partition = partition
        self.seal = seal
        self.clock = clock
        self.sealed: dict[str, SealReply] = {}
        self.is_over = False
        self.progress = Event()

    def run(self) -> dict[str, SealReply]:
        """Return the replies of enough holders to meet every kept record."""
        for holder in self.partition.record.holders:
            eventlet.spawn_n(self.seal_surely, holder)
        started = self.clock.monotonic()
        while not self.is_done(self.clock.monotonic() - started):
            with eventlet.Timeout(POLL_SECONDS, False):
                self.progress.wait()
        self.is_over = True
        return dict(self.sealed)

    def is_done(self, waited: float) -> bool:
        """Return whether no more replies are waited for, after so many seconds."""
        record = self.partition.record
        if self.partition.is_lost or len(self.sealed) == len(record.holders):
            return True
        return len(self.sealed) >= record.seals_needed and waited >= WAIT_SECONDS

    def seal_surely(self, holder: str) -> None:
        """Ask one holder, again until it has sealed."""
        while not self.partition.is_lost and not self.is_over:
            reply = self.seal(holder)
            if reply is not None:
                self.sealed[holder] = reply
                event, self.progress = self.progress, Event()
                event.send(None)
                return
            eventlet.sleep(RETRY_SECONDS)
