"""State of a partition that this box owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eventlet.semaphore import Semaphore

from cedarchute.problem import Problem

if TYPE_CHECKING:
    from cedarchute.copies.program_log import ProgramLog
    from cedarchute.membership.partition_record import PartitionRecord
    from cedarchute.verdict import Verdict


class PartitionMovedError(Exception):
    """Another box owns the partition now."""

    code = "partition_moved"

    def __init__(self, partition: str) -> None:
        super().__init__(f"partition {partition} moved to another box")
        self.partition = partition


class OwnedPartition:
    """A partition with its logs, as its owner sees it.

    Attributes
    ----------
    proposed : PartitionRecord or None
        A record with other holders, from before it is sent to the store until the
        result of the write is known. The store may have either record meanwhile, so
        a quorum is needed of the holders of both.
    gate : Semaphore
        Mutex of appends and of changes to the set of holders.
    confirmed_at : float
        Monotonic time of the start of the last exchange in which a quorum of
        holders accepted this box as the owner.
    """

    def __init__(self, record: PartitionRecord, version: int) -> None:
        self.record = record
        self.proposed: PartitionRecord | None = None
        self.version = version
        self.logs: dict[str, ProgramLog] = {}
        self.joining: tuple[str, ...] = ()
        self.gate = Semaphore(1)
        self.is_lost = False
        self.is_handing_over = False
        self.is_recovering = False
        self.confirmation_times: dict[str, float] = {}
        self.next_number = 0

    @property
    def name(self) -> str:
        """The id of the partition."""
        return self.record.partition

    @property
    def epoch(self) -> int:
        """The epoch under which this box owns it."""
        return self.record.epoch

    def is_record(self, record: PartitionRecord) -> bool:
        """Return whether `record` is the one that this owner wrote or took last."""
        return record.operation == self.record.operation

    @property
    def possible_records(self) -> tuple[PartitionRecord, ...]:
        """The records that the store may have for this owner."""
        if self.proposed is None:
            return (self.record,)
        return (self.record, self.proposed)

    @property
    def possible_holders(self) -> set[str]:
        """The holders of all `possible_records`."""
        return {h for record in self.possible_records for h in record.holders}

    @property
    def confirmed_at(self) -> float:
        """When a quorum of holders last accepted this box as the owner."""
        return min(self._find_confirmation_time(r) for r in self.possible_records)

    def _find_confirmation_time(self, record: PartitionRecord) -> float:
        if record.quorum == 0:
            return float("inf")
        times = sorted(
            (self.confirmation_times.get(h, float("-inf")) for h in record.holders),
            reverse=True,
        )
        return times[record.quorum - 1]

    def has_quorum(self, program_log: ProgramLog, length: int) -> bool:
        """Return whether a quorum of holders has the first `length` records."""
        return all(
            program_log.count_holders(length, record.holders) >= record.quorum
            for record in self.possible_records
        )

    def lose(self) -> None:
        """Mark the partition as owned by another box and wake all waiters."""
        if self.is_lost:
            return
        self.is_lost = True
        for log in self.logs.values():
            log.notify_waiters()

    def check_owned(self) -> None:
        """Raise `PartitionMovedError` when another box owns the partition."""
        if self.is_lost:
            raise PartitionMovedError(self.name)


def make_copies_problem(verdict: Verdict) -> Problem:
    """Return the problem for an append without a quorum of holders."""
    return Problem(
        "copies_unavailable",
        "Too few boxes can hold a copy of the record right now; ask again.",
        status=503,
        verdict=verdict,
        retry_after=1.0,
    )
