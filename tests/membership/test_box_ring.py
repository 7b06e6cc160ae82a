from __future__ import annotations

from collections import Counter

from cedarchute.membership.box_ring import BoxRing

THINGS = [f"engine-{n}" for n in range(1100)]


def deal(names):
    ring = BoxRing(names)
    return {thing: ring.find_owner(thing) for thing in THINGS}


def test_every_thing_has_one_owner_whatever_the_order_of_the_boxes():
    names = [f"box-{n}" for n in range(380)]
    assert deal(names) == deal(reversed(names))
    assert None not in deal(names).values()
    assert BoxRing(()).find_owner("engine-1") is None


def test_a_box_that_leaves_gives_its_share_to_one_other():
    names = [f"box-{n}" for n in range(20)]
    before, after = deal(names), deal(names[1:])
    moved = {thing for thing in THINGS if before[thing] != after[thing]}
    assert moved == {thing for thing in THINGS if before[thing] == "box-0"}
    assert len(Counter(after[thing] for thing in moved)) <= 1
