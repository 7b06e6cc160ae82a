from __future__ import annotations

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.reader_choice import (
    LEAST_BOXES,
    READERS_PER_DOMAIN,
    ReaderChoice,
)


def make_box(name, domain="a", role=Role.ENTRY, leaving=False):
    return BoxEntry(name, role, domain, "r", "", f"{name}:1", "", leaving)


def make_choice(me, *boxes):
    directory = BoxDirectory()
    for box in boxes:
        directory.put(box)
    return ReaderChoice(directory, me)


BOXES = [make_box(f"entry-{number}") for number in range(LEAST_BOXES + 5)]


def test_all_boxes_find_the_same_few_readers():
    readers = {box.name for box in make_choice(BOXES[0], *BOXES).list_readers()}
    assert len(readers) == READERS_PER_DOMAIN
    for me in BOXES:
        choice = make_choice(me, *reversed(BOXES))
        chosen = [choice.choose(turn) for turn in range(READERS_PER_DOMAIN)]
        if me.name == "entry-0":
            assert set(chosen) == {None}
        elif me.name in readers:
            assert {box.name for box in chosen} == {"entry-0"}
        else:
            assert {box.name for box in chosen} == readers


def test_boxes_of_other_domains_leaving_boxes_and_holders_do_not_read_for_others():
    others = [
        make_box("entry-00", "b"),
        make_box("entry-01", leaving=True),
        make_box("entry-02", role=Role.HOLDER),
    ]
    choice = make_choice(BOXES[5], *others, *BOXES)
    assert [box.name for box in choice.list_readers()] == ["entry-0", "entry-1"]


def test_in_a_small_domain_every_box_reads():
    me = make_box("holder-1", role=Role.HOLDER)
    assert make_choice(me, *BOXES[: LEAST_BOXES - 1]).choose(0) is None
    assert make_choice(me, *BOXES[:LEAST_BOXES]).choose(0) is not None
