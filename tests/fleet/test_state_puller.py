"""Choice of the boxes to pull from while the store is unavailable."""

from __future__ import annotations

import random

from cedarchute.address import Address
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.reader_choice import ReaderChoice
from cedarchute.fleet.state_puller import StatePuller
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.metrics import Metrics


def make_entry(number, domain):
    address = f"10.0.0.1:{7000 + number}"
    name = f"{domain}-{number}"
    return BoxEntry(name, Role.ENTRY, domain, "r", address, f"10.0.0.2:{7000 + number}")


def make_puller(entries, me):
    directory = BoxDirectory()
    for entry in entries:
        directory.put(entry)
    readers = ReaderChoice(directory, me)
    seeds = [Address("10.0.0.9", 1)]
    chance = random.Random(7)
    mirror = StoreMirror({})
    return StatePuller(mirror, directory, readers, seeds, me.name, chance, Metrics())


def test_every_second_question_goes_to_a_reader_of_the_own_domain():
    entries = [make_entry(n, "a" if n < 4 else "b") for n in range(8)]
    puller = make_puller(entries, entries[3])
    asked = [str(puller.choose_peer()) for _ in range(40)]
    readers = {entry.peers for entry in entries[:2]}
    assert set(asked[::2]) == readers
    assert len(set(asked[1::2])) > 3
    assert entries[3].peers not in asked


def test_a_box_that_knows_no_other_asks_a_seed():
    me = make_entry(0, "a")
    assert str(make_puller([], me).choose_peer()) == "10.0.0.9:1"
