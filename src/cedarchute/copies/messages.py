"""Messages between the home of a program and the holders of its copies."""

from __future__ import annotations

from cedarchute.copies.held_record import HeldRecord
from cedarchute.message import Message


class AppendEntry(Message):
    """Records of one program that follow on `start` records.

    `previous_epoch` is the epoch of the record before `start`: a holder whose
    record there is of another epoch has a tail that nobody kept.
    """

    program: str
    start: int
    previous_epoch: int
    records: tuple[HeldRecord, ...]
    forget: bool = False


class PartitionAppend(Message):
    """Every entry of one partition in a batch."""

    partition: str
    epoch: int
    entries: tuple[AppendEntry, ...]


class AppendRequest(Message):
    """A batch from one box to one holder, over all its partitions."""

    holder: str
    appends: tuple[PartitionAppend, ...]


class PartitionAppended(Message):
    """How many records of each program the holder has; `sealed` by an epoch."""

    partition: str
    sealed: int | None = None
    lengths: dict[str, int] = {}


class AppendReply(Message):
    """The reply to a batch; `holder` is false when another storage is here now."""

    holder: bool
    results: tuple[PartitionAppended, ...] = ()


class SealRequest(Message):
    """Asks a holder to refuse every epoch below `epoch`.

    `owner_gone` says that the old owner is known to be gone or to have agreed;
    without it the holder waits until it has not heard from the owner for long.
    """

    holder: str
    partition: str
    epoch: int
    owner_gone: bool


class LogSummary(Message):
    """The length of a log and the epoch of its last record."""

    length: int
    last_epoch: int


class SealReply(Message):
    """The logs that a holder has; `refused` says why it did not seal."""

    refused: str | None = None
    logs: dict[str, LogSummary] = {}


class ReadRequest(Message):
    """Asks for the records of one program."""

    holder: str
    partition: str
    program: str


class ReadReply(Message):
    """The records of one program; None when the holder has none."""

    records: tuple[HeldRecord, ...] | None
