from __future__ import annotations

import pytest

from cedarchute.decisions.knowledge_age import ReaderRank
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


BOXES = [make_box(f"entry-{number}") for number in range(8)]


def test_all_boxes_find_the_same_few_readers():
    readers = {box.name for box in make_choice(BOXES[0], *BOXES).list_readers()}
    assert len(readers) == READERS_PER_DOMAIN
    for me in BOXES:
        choice = make_choice(me, *reversed(BOXES))
        chosen = [
            choice.choose(poll_number) for poll_number in range(READERS_PER_DOMAIN)
        ]
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


@pytest.mark.parametrize("entries", [1, 2, 3])
def test_one_box_reads_in_a_small_domain_too(entries):
    holder = make_box("holder-1", role=Role.HOLDER)
    ranks = {}
    for me in [*BOXES[:entries], holder]:
        choice = make_choice(me, *BOXES[:entries])
        ranks.setdefault(choice.find_rank(), []).append(me.name)
        reads = me.name == "entry-0"
        assert [choice.choose(poll_number) is None for poll_number in range(4)] == [
            reads
        ] * 4
    assert ranks[ReaderRank.FIRST] == ["entry-0"]
    assert ranks.get(ReaderRank.SECOND, []) == ["entry-1"] * (entries > 1)
    assert holder.name in ranks[ReaderRank.LISTENER]


def test_a_box_in_a_domain_without_entries_reads_by_itself():
    holder = make_box("holder-1", role=Role.HOLDER)
    choice = make_choice(holder, make_box("entry-0", "b"))
    assert choice.choose(0) is None
    assert choice.find_rank() is ReaderRank.FIRST
