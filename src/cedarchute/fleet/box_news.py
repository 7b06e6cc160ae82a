"""What boxes of a failure domain tell each other over their reader."""

from __future__ import annotations

import msgspec

from cedarchute.placement.target_report import TargetReport


class BoxNews(msgspec.Struct, frozen=True):
    """What a box tells its reader of itself.

    Attributes
    ----------
    box : str
        Its name.
    is_isolated : bool
        Whether it reaches no quorum of holders.
    reports : tuple of TargetReport
        Targets that it used lately.
    """

    box: str
    is_isolated: bool = False
    reports: tuple[TargetReport, ...] = ()


class DomainNews(msgspec.Struct, frozen=True):
    """What a reader heard from the boxes of its domain.

    Attributes
    ----------
    isolated : tuple of str
        Boxes that reach no quorum of holders.
    reports : tuple of TargetReport
        Merged reports of targets.
    """

    isolated: tuple[str, ...] = ()
    reports: tuple[TargetReport, ...] = ()
