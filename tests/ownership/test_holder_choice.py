from __future__ import annotations

from cedarchute.address import Address
from cedarchute.membership.box_record import BoxRecord
from cedarchute.ownership.holder_choice import choose_holders


def make_box(number, domain, region="r"):
    return BoxRecord(
        name=f"b{number}",
        incarnation=1,
        caller_address=Address("127.0.0.1", 1000 + number),
        peer_address=Address("127.0.0.1", 2000 + number),
        failure_domain=domain,
        region=region,
        holder=f"b{number}.1",
    )


def test_copies_stand_in_other_failure_domains():
    boxes = [make_box(n, "abc"[n % 3]) for n in range(12)]
    domains = {box.holder: box.failure_domain for box in boxes}
    for me in boxes:
        chosen = choose_holders(me, boxes, 3)
        assert len(set(chosen)) == 3
        first_two = {domains[holder] for holder in chosen[:2]}
        assert len(first_two | {me.failure_domain}) == 3
        assert all(domains[h] != me.failure_domain for h in chosen)


def test_copies_stay_in_the_region():
    boxes = [make_box(n, "abc"[n % 3], "r" if n < 4 else "s") for n in range(12)]
    assert set(choose_holders(boxes[0], boxes, 8)) == {"b1.1", "b2.1", "b3.1"}


def test_a_box_that_joins_changes_few_choices():
    boxes = [make_box(n, "abc"[n % 3]) for n in range(60)]
    new = make_box(60, "a")
    changed = sum(
        choose_holders(me, boxes, 2) != choose_holders(me, [*boxes, new], 2)
        for me in boxes
    )
    assert changed < 10


def test_one_failure_domain_is_better_than_no_copy():
    boxes = [make_box(n, "a") for n in range(3)]
    assert len(choose_holders(boxes[0], boxes, 2)) == 2
