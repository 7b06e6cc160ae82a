from __future__ import annotations

import pytest
from fakes import StillClock

from cedarchute.membership.box_ring import BoxRing
from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.scheduling.target_directory import TargetDirectory


def make_file(targets, moved="", regions=1):
    lines = ["[site]", "name = large", "[service agent]", "kind = model", "model = m"]
    for number in range(targets):
        name = f"e{number}"
        port = 2000 + number if name == moved else 1000 + number
        lines += [f"[target {name}]", "service = agent", "failure_domain = a"]
        lines.append(f"address = 127.0.0.1:{port}")
        if regions > 1:
            lines.append(f"region = r{number % regions}")
    text = "\n".join(lines) + "\n"
    return AcceptedFile(
        revision=1, operation="o", operator="x", applied_at=0.0, text=text
    )


def make_books(boxes, targets, subset):
    books = [
        TargetDirectory(f"b{n}", "region", subset, StillClock(), Metrics())
        for n in range(boxes)
    ]
    for book in books:
        book.on_configuration(make_file(targets))
        book.on_ring_changed(BoxRing(other.box for other in books))
    return books


@pytest.mark.parametrize(("boxes", "targets"), [(3, 30), (40, 120), (120, 350)])
def test_each_target_is_worked_with_by_some_box(boxes, targets):
    books = make_books(boxes, targets, subset=2)
    covered = {name for book in books for name in book.targets}
    assert len(covered) == targets


def test_a_target_of_other_boxes_is_found_and_given_no_new_work():
    (book, *_) = make_books(40, 120, subset=2)
    other = next(f"e{n}" for n in range(120) if f"e{n}" not in book.targets)
    assert book.find(other).name == other
    assert book.find(other) is book.find(other)
    assert other not in [target.name for target in book.list_available("agent", set())]
    assert book.find("unknown") is None


def test_what_is_known_of_a_target_stays_unless_its_address_changes():
    book = TargetDirectory("b0", "region", 10, StillClock(), Metrics())
    book.on_configuration(make_file(3))
    first, second = book.find("e0"), book.find("e1")
    book.on_ring_changed(BoxRing(["b0", "b1"]))
    book.on_configuration(make_file(3, moved="e1"))
    assert book.find("e0") is first
    assert book.find("e1") is not second


def test_targets_of_the_own_region_are_used_while_there_are_any():
    book = TargetDirectory("b0", "r1", 5, StillClock(), Metrics())
    book.on_configuration(make_file(40, regions=4))
    book.on_ring_changed(BoxRing(["b0", "b1"]))
    assert {target.section.region for target in book.targets.values()} == {"r1"}
    assert len(book.targets) >= 5
    far = TargetDirectory("b0", "r9", 5, StillClock(), Metrics())
    far.on_configuration(make_file(40, regions=4))
    assert len(far.targets) == 5
