"""Chooses the holders of a partition's copies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.membership.rank import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.membership.box_record import BoxRecord


def choose_holders(
    me: BoxRecord, boxes: Iterable[BoxRecord], count: int
) -> tuple[str, ...]:
    """Return up to `count` holders, in other failure domains first.

    Only boxes of the same region are chosen, so that regions that lose each other
    go on. The order by rank spreads the copies of all boxes evenly, and a box that
    joins or leaves changes few choices.
    """
    candidates = sorted(
        (box for box in boxes if box.name != me.name and box.region == me.region),
        key=lambda box: rank(me.name, box.name),
    )
    chosen: list[BoxRecord] = []
    used = {me.failure_domain}
    while candidates and len(chosen) < count:
        fresh = [box for box in candidates if box.failure_domain not in used]
        if not fresh:
            outside = [
                box for box in candidates if box.failure_domain != me.failure_domain
            ]
            fresh = outside or candidates
        box = fresh[0]
        chosen.append(box)
        used.add(box.failure_domain)
        candidates.remove(box)
    return tuple(box.holder for box in chosen)
