"""The copies of one partition on this box."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class StoredRecord:
    """The epoch of a record and the storage handle of its text."""

    epoch: int
    handle: object


@dataclass
class PartitionCopy:
    """The stored logs of the programs of a partition.

    Attributes
    ----------
    epoch : int
        Appends of lower epochs are rejected.
    received_at : float
        Monotonic time of the last append from the owner.
    """

    epoch: int = 0
    received_at: float = float("-inf")
    programs: dict[str, list[StoredRecord]] = field(default_factory=dict)
