"""Chooses the entries that a caller is told."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from cedarchute.membership.box_record import BoxRecord

MOST_ENTRIES: Final = 16


def choose_entries(
    region: str,
    failure_domain: str,
    boxes: Iterable[BoxRecord],
    random_source: random.Random,
) -> list[BoxRecord]:
    """Return some entries, near ones first, others only to fill up.

    An answer is bounded, and a caller's programs stay in the region that it asked,
    because homes and copies stay in a region too. Chance spreads the callers.

    Parameters
    ----------
    region : str
        That of the box that is asked.
    failure_domain : str
        That of the caller, when it says so; otherwise empty.
    """
    shuffled = list(boxes)
    random_source.shuffle(shuffled)
    near = sorted(
        shuffled,
        key=lambda box: (box.region != region, box.failure_domain != failure_domain),
    )
    return near[:MOST_ENTRIES]
