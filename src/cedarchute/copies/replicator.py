"""Write-ahead replication of records to a quorum of holders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.holder_link import HolderLink
from cedarchute.copies.owned_partition import make_copies_problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.clock import Clock
    from cedarchute.copies.holder import Holder
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.peers.peer_client import PeerClient
    from cedarchute.programs.records import ProgramRecord
    from cedarchute.settings.box_settings import CopiesSection

log = logging.getLogger("cedarchute.copies")

CONFIRMATION_AGE_SHARE: Final = 0.5
CONFIRM_POLL_SECONDS: Final = 0.05


class Replicator:
    """Appends to the logs of the partitions that this box owns.

    Parameters
    ----------
    takeover_seconds : float
        Minimum time after an append before a holder lets another box take over,
        unless the owner is known to be gone.
    """

    def __init__(
        self,
        local: Holder,
        view: View,
        client: PeerClient,
        settings: CopiesSection,
        takeover_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.local = local
        self.view = view
        self.client = client
        self.settings = settings
        self.takeover_seconds = takeover_seconds
        self.clock = clock
        self.metrics = metrics
        self.partitions: dict[str, OwnedPartition] = {}
        self.links: dict[str, HolderLink] = {}

    def link(self, holder: str) -> HolderLink:
        """Return the link to `holder`, created on first use."""
        if holder not in self.links:
            self.links[holder] = HolderLink(
                holder,
                self.local,
                self.view,
                self.client,
                self.partitions.get,
                self.clock,
                self.metrics,
            )
        return self.links[holder]

    def extend(
        self,
        partition: OwnedPartition,
        program: str,
        records: Sequence[ProgramRecord],
        *,
        is_sent: bool = True,
    ) -> int:
        """Append `records` to a log; return the index of the first.

        Parameters
        ----------
        is_sent : bool
            Send them at once; otherwise they are sent with later records.

        Raises
        ------
        PartitionMovedError
            When another box owns the partition now.
        """
        with partition.gate:
            partition.check_owned()
            program_log = partition.logs[program]
            start = len(program_log)
            program_log.add(partition.epoch, [r.to_json() for r in records])
            if not is_sent:
                return start
            preferred_count = max(self.settings.wanted, partition.record.quorum)
            holders = partition.record.holders
            for holder in (*holders[:preferred_count], *partition.joining):
                self.link(holder).mark(partition.name, program)
        return start

    def wait_kept(self, partition: OwnedPartition, program: str, length: int) -> None:
        """Block until a quorum of holders has `length` records of a program.

        Sends to the spare holders as well when the preferred ones are late.

        Raises
        ------
        PartitionMovedError
            When another box owns the partition now.
        Problem
            ``copies_unavailable`` with verdict ``may have run``, on a timeout: it
            is unknown whether the records would survive a failure of this box.
        """
        program_log = partition.logs[program]
        started = self.clock.monotonic()
        is_spare_asked = False
        while True:
            partition.check_owned()
            if partition.has_quorum(program_log, length):
                return
            waited = self.clock.monotonic() - started
            if waited >= self.settings.append_seconds:
                self.metrics.count("copies.append_timeout")
                raise make_copies_problem(Verdict.MAY_HAVE_RUN)
            if not is_spare_asked and waited >= self.settings.spare_after_seconds:
                is_spare_asked = True
                self.metrics.count("copies.spare_asked")
                for holder in partition.possible_holders:
                    self.link(holder).mark(partition.name, program)
            spare_delay = self.settings.spare_after_seconds - waited
            program_log.wait(spare_delay if spare_delay > 0 else 0.25)

    def confirm_owned(self, partition: OwnedPartition) -> None:
        """Block until a quorum has recently confirmed this box as the owner.

        Keeps a box that was paused from responding or dispatching after another
        one took over.

        Raises
        ------
        PartitionMovedError
            When another box owns the partition.
        Problem
            ``copies_unavailable`` when no quorum responds in time.
        """
        partition.check_owned()
        if self.is_recently_confirmed(partition):
            return
        for holder in partition.possible_holders:
            self.link(holder).ping(partition.name)
        deadline = self.clock.monotonic() + self.settings.append_seconds
        while not self.is_recently_confirmed(partition):
            partition.check_owned()
            if self.clock.monotonic() > deadline:
                raise make_copies_problem(Verdict.MAY_HAVE_RUN)
            eventlet.sleep(CONFIRM_POLL_SECONDS)

    def is_recently_confirmed(self, partition: OwnedPartition) -> bool:
        """Return whether the last confirmation still excludes a takeover."""
        age = self.clock.monotonic() - partition.confirmed_at
        return age < self.takeover_seconds * CONFIRMATION_AGE_SHARE

    def forget(self, partition: OwnedPartition, program: str) -> None:
        """Delete the log of a program here and on its holders."""
        partition.logs.pop(program, None)
        for holder in partition.possible_holders:
            self.link(holder).forget(partition.name, program)
