"""The stored record of a partition and its owner."""

from __future__ import annotations

from cedarchute.message import Message


class PartitionRecord(Message):
    """Ownership of a partition: the programs created by one incarnation of a box.

    Parameters
    ----------
    partition : str
        The identity of the box that created the programs.
    epoch : int
        Incremented at each change of owner; holders reject lower epochs.
    owner : str
        The identity of the box that currently runs the programs.
    holders : tuple of str
        The holders of the program logs, in order of preference.
    quorum : int
        How many holders must store a record before it counts as committed. A new
        owner seals ``len(holders) - quorum + 1`` of them, which overlaps with every
        write quorum, so that it reads each committed record.
    operation : str
        Unique id of each write; shows whether a write with a lost reply succeeded.
    """

    partition: str
    epoch: int
    owner: str
    holders: tuple[str, ...]
    quorum: int
    operation: str

    @property
    def seals_needed(self) -> int:
        """How many holders a new owner must seal before it reads the records."""
        return len(self.holders) - self.quorum + 1
