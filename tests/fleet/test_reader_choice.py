from __future__ import annotations

from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN, ReaderChoice


def make_box(name, domain="a", role=Role.ENTRY, leaving=False):
    return BoxEntry(name, role, domain, "r", "", f"{name}:1", "", leaving)


def make_choice(me, *boxes):
    directory = BoxDirectory()
    for box in boxes:
        directory.put(box)
    return ReaderChoice(directory, me)


BOXES = [make_box(f"entry-{number}") for number in range(6)]


def test_all_boxes_find_the_same_few_readers():
    readers = {box.name for box in make_choice(BOXES[0], *BOXES).list_readers()}
    assert len(readers) == READERS_PER_DOMAIN
    for me in BOXES:
        reader = make_choice(me, *reversed(BOXES)).choose()
        if me.name in readers:
            assert reader is None
        else:
            assert reader.name in readers


def test_the_boxes_that_listen_are_spread_over_the_readers():
    listeners = [make_box(f"entry-x{number}") for number in range(40)]
    names = {make_choice(me, *BOXES).choose().name for me in listeners}
    assert len(names) == READERS_PER_DOMAIN


def test_boxes_of_other_domains_leaving_boxes_and_holders_do_not_read_for_others():
    others = [
        make_box("entry-00", "b"),
        make_box("entry-01", leaving=True),
        make_box("entry-02", role=Role.HOLDER),
    ]
    choice = make_choice(BOXES[5], *others, *BOXES)
    assert [box.name for box in choice.list_readers()] == ["entry-0", "entry-1"]


def test_a_box_that_knows_too_few_readers_reads_itself():
    me = make_box("holder-1", role=Role.HOLDER)
    assert make_choice(me, *BOXES[:1]).choose() is None
    assert make_choice(me, *BOXES).choose() is not None
