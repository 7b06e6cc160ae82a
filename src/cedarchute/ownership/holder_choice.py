"""Selects the holders that replicate a partition."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.membership.rank import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.membership.box_record import BoxRecord


def choose_holders(
    me: BoxRecord, boxes: Iterable[BoxRecord], count: int
) -> tuple[str, ...]:
    """Return up to `count` holders, each in a different failure domain if possible.

    Only boxes of the same region are eligible, so that a region keeps working while
    it is cut off from the others. Rendezvous hashing (`rank`) distributes the copies
    evenly and changes few choices when a box joins or leaves.
    """
    candidates = sorted(
        (box for box in boxes if box.name != me.name and box.region == me.region),
        key=lambda box: rank(me.name, box.name),
    )
    chosen: list[BoxRecord] = []
    used_domains = {me.failure_domain}
    while candidates and len(chosen) < count:
        preferred = [
            box for box in candidates if box.failure_domain not in used_domains
        ]
        if not preferred:
            in_other_domains = [
                box for box in candidates if box.failure_domain != me.failure_domain
            ]
            preferred = in_other_domains or candidates
        box = preferred[0]
        chosen.append(box)
        used_domains.add(box.failure_domain)
        candidates.remove(box)
    return tuple(box.holder for box in chosen)
