from __future__ import annotations

from collections import Counter

from cedarchute.membership.box_ring import BoxRing

KEYS = [f"engine-{n}" for n in range(1100)]


def assign_owners(names):
    ring = BoxRing(names)
    return {key: ring.find_owner(key) for key in KEYS}


def test_every_thing_has_one_owner_whatever_the_order_of_the_boxes():
    names = [f"box-{n}" for n in range(380)]
    assert assign_owners(names) == assign_owners(reversed(names))
    assert None not in assign_owners(names).values()
    assert BoxRing(()).find_owner("engine-1") is None


def test_a_box_that_leaves_gives_its_share_to_one_other():
    names = [f"box-{n}" for n in range(20)]
    before, after = assign_owners(names), assign_owners(names[1:])
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == "box-0"}
    assert len(Counter(after[key] for key in moved)) <= 1
