"""Chooses the boxes that a caller may send requests to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from cedarchute.membership.box_record import BoxRecord

MAX_ENTRIES: Final = 16


def choose_entries(
    region: str,
    failure_domain: str,
    boxes: Iterable[BoxRecord],
    random_source: random.Random,
) -> list[BoxRecord]:
    """Return up to `MAX_ENTRIES` boxes, those nearest to the caller first.

    Boxes of the same region come first because a program's owner and replicas stay in
    one region; then those of the caller's failure domain. The order within each group
    is random, which spreads callers over the boxes.

    Parameters
    ----------
    region : str
        Region of the box that received the request.
    failure_domain : str
        Failure domain of the caller; empty when unknown.
    """
    shuffled = list(boxes)
    random_source.shuffle(shuffled)
    near = sorted(
        shuffled,
        key=lambda box: (box.region != region, box.failure_domain != failure_domain),
    )
    return near[:MAX_ENTRIES]
