"""Who watches the store, and what a box does that lost its reader."""

from __future__ import annotations

import pytest

from cedarchute.fleet import store_reader
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.state_client import StateNotToldError
from cedarchute.fleet.state_messages import MirroredEntry, State
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.fleet.store_reader import OWN_READING_SECONDS, StoreReader
from cedarchute.metrics import Metrics
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.platform.store_entry import StoreChange, StoreEntry, StoreListing

READER = BoxEntry("entry-0", Role.ENTRY, "a", "r", "", "127.0.0.1:1")


class Follower:
    def __init__(self):
        self.entries = {}
        self.back = 0

    def put(self, key, value):
        self.entries[key] = value

    def remove(self, key):
        self.entries.pop(key, None)

    def note_store_back(self):
        self.back += 1


class Store:
    """Counts calls; says what it is told to."""

    def __init__(self):
        self.watches = []
        self.is_down = False
        self.revision = 4

    def list(self, prefix):
        return StoreListing((StoreEntry("k/1", "listed", 3),), self.revision)

    def wait_changes(self, prefix, after, seconds):
        self.watches.append(round(seconds, 1))
        if self.is_down:
            raise StoreUnavailableError("down")
        self.revision += 1
        entry = StoreEntry("k/1", "watched", self.revision)
        return [StoreChange("k/1", entry, self.revision)], self.revision


class Boxes:
    """Stands in for other boxes: a state, or silence."""

    def __init__(self):
        self.state = None
        self.asked = 0

    def ask(self, address, after, wait_seconds):
        self.asked += 1
        if self.state is None:
            raise StateNotToldError("silent")
        return self.state


class Readers:
    reader = READER

    def choose(self):
        return self.reader


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

        def monotonic(self):
            return self.now

    clock = Clock()
    monkeypatch.setattr(store_reader, "time", clock)
    monkeypatch.setattr(store_reader.eventlet, "sleep", lambda seconds: None)
    return clock


@pytest.fixture
def reader(clock):
    follower = Follower()
    reader = StoreReader(Store(), StoreMirror({"k/": follower}), Readers(), Metrics())
    reader.boxes = Boxes()
    reader.follower = follower
    reader.read_once()
    return reader


def tell(revision, value, steady_seconds=9.0):
    entry = MirroredEntry("k/1", value, revision)
    return State(revision, False, (entry,), (), steady_seconds)


def test_a_box_with_a_reader_makes_no_call_to_the_store(reader):
    reader.boxes.state = tell(7, "told")
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}
    assert reader.mirror.revision == 7
    assert reader.store.watches == []


def test_a_box_without_a_reader_watches_the_store(reader):
    reader.readers.reader = None
    reader.read_once()
    assert reader.follower.entries == {"1": "watched"}
    assert reader.boxes.asked == 0


@pytest.mark.parametrize("state", [None, tell(3, "old", steady_seconds=0.0)])
def test_a_box_whose_reader_is_lost_reads_the_store_for_a_while(reader, clock, state):
    reader.boxes.state = state
    reader.read_once()
    clock.now += 1
    reader.read_once()
    assert reader.follower.entries == {"1": "watched"}
    assert reader.store.watches == [OWN_READING_SECONDS - 1]
    clock.now += OWN_READING_SECONDS
    reader.boxes.state = tell(9, "told")
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}


def test_what_a_reader_that_lost_the_store_knows_is_taken_all_the_same(reader):
    reader.boxes.state = tell(7, "told", steady_seconds=0.0)
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}


def test_a_box_that_lost_the_store_too_listens_on(reader):
    reader.boxes.state = tell(3, "old", steady_seconds=0.0)
    reader.read_once()
    reader.store.is_down = True
    with pytest.raises(StoreUnavailableError):
        reader.read_once()
    reader.note_failed("down")
    assert reader.mirror.lost_seconds > 0
    asked = reader.boxes.asked
    reader.read_once()
    assert reader.boxes.asked == asked + 1


def test_entries_that_lapsed_with_the_store_are_expected_back_by_listeners(reader):
    reader.mirror.note_lost("down")
    backs = reader.follower.back
    reader.boxes.state = tell(7, "told", steady_seconds=0.1)
    reader.read_once()
    assert reader.follower.back == backs + 1
    assert reader.mirror.lost_since is None


def test_a_box_cut_off_itself_does_not_take_its_readers_word_for_its_own_way(reader):
    reader.note_reachable(False)
    reader.boxes.state = tell(7, "told")
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}
    assert reader.mirror.lost_since is not None
