"""The copies of one partition on this box."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class StoredRecord:
    """The epoch of a record and where its text is."""

    epoch: int
    handle: object


@dataclass
class PartitionCopy:
    """The logs of the programs of a partition.

    Attributes
    ----------
    epoch : int
        Appends of lower epochs are refused.
    heard_at : float
        Monotonic time of the last append of the owner.
    """

    epoch: int = 0
    heard_at: float = float("-inf")
    programs: dict[str, list[StoredRecord]] = field(default_factory=dict)
