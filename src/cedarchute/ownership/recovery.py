"""Recovers the programs of a partition from its holders after a takeover."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.messages import (
    LogSummary,
    ReadReply,
    ReadRequest,
    SealReply,
    SealRequest,
)
from cedarchute.copies.program_log import ProgramLog
from cedarchute.ownership.sealing import Sealing
from cedarchute.peers.peer_client import PeerError
from cedarchute.programs.program import Program

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.copies.held_record import HeldRecord
    from cedarchute.copies.holder import Holder
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.peers.peer_client import PeerClient
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.programs.program_resumer import ProgramResumer

log = logging.getLogger("cedarchute.takeover")

READ_RETRY_SECONDS: Final = 0.3
READ_ATTEMPTS: Final = 5
MAX_CONCURRENT_RESUMES: Final = 32


class Recovery:
    """Seals the copies of a partition, reads its logs and resumes its programs.

    Sealing makes holders reject the previous owner. The sealed holders overlap with
    every write quorum. For each program, the log with the highest last epoch is read,
    and the longest of those.
    """

    def __init__(
        self,
        view: View,
        holder: Holder,
        home: ProgramRegistry,
        adopter: ProgramResumer,
        client: PeerClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.holder = holder
        self.home = home
        self.adopter = adopter
        self.client = client
        self.clock = clock
        self.metrics = metrics

    def restore(
        self, partition: OwnedPartition, owner_gone: bool
    ) -> tuple[str, ...] | None:
        """Seal the copies, read the most recent logs and rebuild the programs.

        Returns
        -------
        tuple of str or None
            The sealed holders, in the order of the record; None if the partition was
            lost meanwhile.
        """
        logs = None
        sealed: dict[str, SealReply] = {}
        while logs is None and not partition.is_lost:
            sealed = self.seal(partition, owner_gone)
            logs = self.read_all(partition, sealed)
        if logs is None or partition.is_lost:
            return None
        partition.logs.update(logs)
        for program_id, program_log in logs.items():
            program = Program.replay(program_id, partition, program_log)
            program.is_ready = False
            program.last_active_at = self.clock.monotonic()
            self.home.programs[program.id] = program
            self.adopter.record_takeover(program)
        return tuple(h for h in partition.record.holders if h in sealed)

    def resume(self, partition: OwnedPartition) -> None:
        """Resume the restored programs; new calls are accepted from now on."""
        programs = [p for p in self.home.programs.values() if p.partition is partition]
        partition.is_recovering = False
        self.metrics.count("takeover.programs", len(programs))
        log.info("Took over %d programs of %s.", len(programs), partition.name)
        pool = eventlet.GreenPool(MAX_CONCURRENT_RESUMES)
        for program in programs:
            pool.spawn_n(self.adopter.resume, program)
        pool.waitall()
        self.home.child_budgets.refund_missing_children(partition)

    def read_all(
        self, partition: OwnedPartition, sealed: dict[str, SealReply]
    ) -> dict[str, ProgramLog] | None:
        """Return the most recent log of each program, or None if a read failed."""
        best: dict[str, tuple[LogSummary, str]] = {}
        # Among equal logs the first is used: the local one needs no request.
        local_first = sorted(sealed, key=lambda holder: holder != self.holder.name)
        for holder in local_first:
            reply = sealed[holder]
            for program, summary in reply.logs.items():
                found = best.get(program)
                if found is None or log_order_key(summary) > log_order_key(found[0]):
                    best[program] = (summary, holder)
        logs = {}
        for program, (summary, holder) in best.items():
            records = self.read(partition, program, holder)
            if records is None:
                self.metrics.count_retry("takeover_read")
                return None
            program_log = ProgramLog(records)
            for other, reply in sealed.items():
                if reply.logs.get(program) == summary:
                    program_log.matched[other] = len(records)
            logs[program] = program_log
        return logs

    def seal(self, partition: OwnedPartition, owner_gone: bool) -> dict[str, SealReply]:
        """Return the replies of enough holders to cover every committed record."""
        sealing = Sealing(
            partition,
            lambda holder: self.seal_holder(partition, holder, owner_gone),
            self.clock,
        )
        return sealing.run()

    def seal_holder(
        self, partition: OwnedPartition, holder: str, owner_gone: bool
    ) -> SealReply | None:
        """Return the reply of one holder, or None if it was not sealed."""
        request = SealRequest(
            holder=holder,
            partition=partition.name,
            epoch=partition.epoch,
            owner_gone=owner_gone,
        )
        if holder == self.holder.name:
            reply = self.holder.on_seal(request)
        else:
            box = self.view.find_holder(holder)
            if box is None:
                return None
            try:
                reply = self.client.send(box.peer_address, "seal", request, SealReply)
            except PeerError:
                return None
        if reply.refused == "higher epoch":
            partition.lose()
        return reply if reply.refused is None else None

    def read(
        self, partition: OwnedPartition, program: str, holder: str
    ) -> tuple[HeldRecord, ...] | None:
        """Return the records of one program, or None if the holder cannot be read."""
        if holder == self.holder.name:
            return self.holder.read(partition.name, program)
        request = ReadRequest(holder=holder, partition=partition.name, program=program)
        for _ in range(READ_ATTEMPTS):
            box = self.view.find_holder(holder)
            if box is None or partition.is_lost:
                return None
            try:
                reply = self.client.send(box.peer_address, "read", request, ReadReply)
                return reply.records
            except PeerError:
                eventlet.sleep(READ_RETRY_SECONDS)
        return None


def log_order_key(summary: LogSummary) -> tuple[int, int]:
    """Return the sort key of a log: its last epoch, then its length."""
    return (summary.last_epoch, summary.length)
