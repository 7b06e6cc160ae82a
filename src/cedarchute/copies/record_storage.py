"""Storage interface of a holder, with an in-memory implementation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from cedarchute.copies.packed_text import compress_text, decompress_text

if TYPE_CHECKING:
    from cedarchute.copies.partition_copy import PartitionCopy


class RecordStorage(Protocol):
    """Stores the texts of records, and the changes that must be durable."""

    def load(self) -> dict[str, PartitionCopy]:
        """Return the copies that an earlier process stored."""
        ...

    def put(
        self, partition: str, program: str, index: int, epoch: int, text: str
    ) -> object:
        """Store the record at `index`, truncate the log after it; return its handle."""
        ...

    def get(self, handle: object) -> str:
        """Return the text of the record with this handle."""
        ...

    def record_epoch(self, partition: str, epoch: int) -> None:
        """Store the minimum epoch that a partition accepts."""
        ...

    def record_forgotten(self, partition: str, program: str | None) -> None:
        """Store the deletion of a program, or of the partition when it is None."""
        ...

    def sync(self) -> None:
        """Block until all changes so far are durable."""
        ...


class MemoryStorage:
    """Keeps texts in memory, long ones compressed; lost on a restart."""

    def load(self) -> dict[str, PartitionCopy]:
        """Return no copies, since nothing survives a restart."""
        return {}

    def put(
        self, partition: str, program: str, index: int, epoch: int, text: str
    ) -> object:
        """Return the handle of `text`, which is the text itself, perhaps compressed."""
        del partition, program, index, epoch
        return compress_text(text)

    def get(self, handle: object) -> str:
        """Return the text of `handle`."""
        assert isinstance(handle, (bytes, tuple))
        return decompress_text(handle)

    def record_epoch(self, partition: str, epoch: int) -> None:
        """Do nothing."""

    def record_forgotten(self, partition: str, program: str | None) -> None:
        """Do nothing."""

    def sync(self) -> None:
        """Do nothing."""
