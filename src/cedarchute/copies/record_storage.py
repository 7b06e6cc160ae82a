"""Where a holder keeps what it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from cedarchute.copies.packed_text import pack_text, unpack_text

if TYPE_CHECKING:
    from cedarchute.copies.partition_copy import PartitionCopy


class RecordStorage(Protocol):
    """Keeps the text of records; told of every change that must last."""

    def load(self) -> dict[str, PartitionCopy]:
        """Return what an earlier process on this storage held."""
        ...

    def put(
        self, partition: str, program: str, index: int, epoch: int, text: str
    ) -> object:
        """Keep the record at `index` of a program, the last one from now on."""
        ...

    def get(self, handle: object) -> str:
        """Return the text of a record."""
        ...

    def note_epoch(self, partition: str, epoch: int) -> None:
        """Note that lower epochs of a partition are refused from now on."""
        ...

    def note_forgotten(self, partition: str, program: str | None) -> None:
        """Note that a program, or the whole partition, is not held any more."""
        ...

    def sync(self) -> None:
        """Return when everything noted so far would survive a restart."""
        ...


class MemoryStorage:
    """Keeps texts in memory, long ones compressed; nothing survives a restart."""

    def load(self) -> dict[str, PartitionCopy]:
        """Return nothing: a new process holds nothing."""
        return {}

    def put(
        self, partition: str, program: str, index: int, epoch: int, text: str
    ) -> object:
        """Keep `text` and return its handle."""
        del partition, program, index, epoch
        return pack_text(text)

    def get(self, handle: object) -> str:
        """Return the text of `handle`."""
        assert isinstance(handle, (bytes, tuple))
        return unpack_text(handle)

    def note_epoch(self, partition: str, epoch: int) -> None:
        """Do nothing."""

    def note_forgotten(self, partition: str, program: str | None) -> None:
        """Do nothing."""

    def sync(self) -> None:
        """Do nothing."""
