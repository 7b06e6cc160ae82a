"""Who owns the programs that one incarnation of a box has opened."""

from __future__ import annotations

from cedarchute.message import Message


class PartitionRecord(Message):
    """The store's record of a partition: the programs minted by one incarnation.

    Parameters
    ----------
    partition : str
        The identity of the box that minted the programs.
    epoch : int
        Goes up with each change of owner; holders refuse lower ones.
    owner : str
        The identity of the box that orders the calls now.
    holders : tuple of str
        The holders of copies, the preferred ones first.
    quorum : int
        How many holders must have a record before it counts as kept. A new
        owner seals ``len(holders) - quorum + 1`` of them, so it meets each kept
        record.
    operation : str
        Unique to each write, so that a lost reply can be settled.
    """

    partition: str
    epoch: int
    owner: str
    holders: tuple[str, ...]
    quorum: int
    operation: str

    @property
    def seals_needed(self) -> int:
        """How many holders a new owner has to seal."""
        return len(self.holders) - self.quorum + 1
