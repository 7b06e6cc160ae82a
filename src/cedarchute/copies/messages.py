"""Messages between the owner of a program and the holders of its copies."""

from __future__ import annotations

from cedarchute.copies.held_record import HeldRecord
from cedarchute.message import Message


class AppendEntry(Message):
    """Records of one program, to be appended at index `start`.

    `previous_epoch` is the epoch of the record before `start`. When a holder has
    another epoch there, its tail was never acknowledged and is removed.
    """

    program: str
    start: int
    previous_epoch: int
    records: tuple[HeldRecord, ...]
    forget: bool = False


class PartitionAppend(Message):
    """The entries of one partition in a batch."""

    partition: str
    epoch: int
    entries: tuple[AppendEntry, ...]


class AppendRequest(Message):
    """A batch from one box to one holder; it can span partitions."""

    holder: str
    appends: tuple[PartitionAppend, ...]


class PartitionAppended(Message):
    """Log lengths by program, or in `sealed` the epoch that rejected the append."""

    partition: str
    sealed: int | None = None
    lengths: dict[str, int] = {}


class AppendReply(Message):
    """The reply to a batch; `holder` is false when the storage has another name."""

    holder: bool
    results: tuple[PartitionAppended, ...] = ()


class SealRequest(Message):
    """Asks a holder to reject every epoch below `epoch`.

    `owner_gone` means that the old owner is known to be gone or has agreed.
    Without it the holder refuses until the owner has been silent for the
    takeover period.
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
    """Summaries of the stored logs; `refused` is the reason for not sealing."""

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
