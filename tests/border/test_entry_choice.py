from __future__ import annotations

import random
from collections import Counter

from cedarchute.address import Address
from cedarchute.border.entry_choice import MAX_ENTRIES, choose_entries
from cedarchute.membership.box_record import BoxRecord


def make_boxes(count, regions):
    return [
        BoxRecord(
            name=f"b{n}",
            incarnation=1,
            caller_address=Address("127.0.0.1", 7000 + n),
            peer_address=Address("127.0.0.1", 8000 + n),
            failure_domain=f"d{n % regions}{n % 3}",
            region=f"r{n % regions}",
            holder=f"b{n}.1",
        )
        for n in range(count)
    ]


def test_all_entries_of_a_small_site_are_told():
    boxes = make_boxes(8, regions=1)
    assert len(choose_entries("r0", "", boxes, random.Random(1))) == 8


def test_an_answer_is_bounded_and_near_on_a_large_site():
    boxes = make_boxes(380, regions=7)
    chosen = choose_entries("r2", "d21", boxes, random.Random(1))
    assert len(chosen) == MAX_ENTRIES
    assert {box.region for box in chosen} == {"r2"}
    assert {box.failure_domain for box in chosen} == {"d21"}


def test_other_regions_fill_up_when_few_are_left():
    boxes = [b for b in make_boxes(380, regions=7) if b.region != "r2"][:40]
    boxes += make_boxes(3, regions=1)
    chosen = choose_entries("r0", "", boxes, random.Random(1))
    assert len(chosen) == MAX_ENTRIES
    assert chosen[0].region == "r0"


def test_callers_are_spread_over_all_boxes_of_a_region():
    boxes = make_boxes(380, regions=7)
    told = Counter()
    for seed in range(400):
        chosen = choose_entries("r2", "", boxes, random.Random(seed))
        told.update(box.name for box in chosen)
    assert len(told) == sum(box.region == "r2" for box in boxes)
    assert max(told.values()) < 2 * min(told.values())
