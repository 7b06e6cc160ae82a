"""Seals the copies of one partition at all of its holders concurrently."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.clock import Clock
    from cedarchute.copies.messages import SealReply
    from cedarchute.copies.owned_partition import OwnedPartition

# Time from the start during which holders beyond `seals_needed` are waited for.
WAIT_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.3
POLL_SECONDS: Final = 0.1


class Sealing:
    """Seals each holder in its own task, so that a hung holder delays no other.

    Parameters
    ----------
    seal : Callable
        Sends the request to one holder; returns None if it was not sealed.
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
        self.is_finished = False
        self.progress = Event()

    def run(self) -> dict[str, SealReply]:
        """Return the replies of enough holders to cover every committed record.

        Returns early, with fewer, if the partition is lost.
        """
        for holder in self.partition.record.holders:
            eventlet.spawn_n(self.seal_with_retry, holder)
        started = self.clock.monotonic()
        while not self.is_done(self.clock.monotonic() - started):
            with eventlet.Timeout(POLL_SECONDS, False):
                self.progress.wait()
        self.is_finished = True
        return dict(self.sealed)

    def is_done(self, waited: float) -> bool:
        """Return whether to stop waiting for replies after `waited` seconds."""
        record = self.partition.record
        if self.partition.is_lost or len(self.sealed) == len(record.holders):
            return True
        return len(self.sealed) >= record.seals_needed and waited >= WAIT_SECONDS

    def seal_with_retry(self, holder: str) -> None:
        """Seal one holder, with retries until it succeeds or `run` has returned."""
        while not self.partition.is_lost and not self.is_finished:
            reply = self.seal(holder)
            if reply is not None:
                self.sealed[holder] = reply
                event, self.progress = self.progress, Event()
                event.send(None)
                return
            eventlet.sleep(RETRY_SECONDS)
