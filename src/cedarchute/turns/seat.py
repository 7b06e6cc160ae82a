"""A position in the set of holders."""

from __future__ import annotations

import msgspec

from cedarchute.turns.disk_location import DiskLocation


class Seat(msgspec.Struct, frozen=True):
    """A numbered position in the set of holders, occupied by one holder or vacant.

    Attributes
    ----------
    disk : str
        Identifies the contents of the disk; changes when the disk is lost.
    is_complete : bool or None
        Whether the disk has every record of the seat that was acknowledged. None in
        tables of earlier versions, where only the holder knows.
    predecessor : DiskLocation or None
        The last complete disk of the seat while this one is incomplete; None if that
        disk is lost.
    is_released : bool
        Whether the last complete disk was emptied as planned, so that the holders of
        the other seats have its records. Only while the seat is vacant or its disk
        incomplete.
    """

    box: str = ""
    address: str = ""
    disk: str = ""
    failure_domain: str = ""
    is_complete: bool | None = None
    predecessor: DiskLocation | None = None
    is_released: bool = False

    @property
    def is_vacant(self) -> bool:
        """Whether no box occupies the seat."""
        return not self.box

    @property
    def location(self) -> DiskLocation:
        """The disk of the holder that occupies the seat."""
        return DiskLocation(self.box, self.address, self.disk)

    @property
    def last_complete(self) -> DiskLocation | None:
        """The disk that has the records of the seat; None if it is lost."""
        if self.is_vacant or self.is_complete is False:
            return self.predecessor
        return self.location
