"""Choice between polling readers and watching the store, with and without faults."""

from __future__ import annotations

import pytest
from recording_follower import RecordingFollower

from cedarchute.fleet import store_reader
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.reader_choice import READERS_PER_DOMAIN
from cedarchute.fleet.state_client import StateUnavailableError
from cedarchute.fleet.state_messages import MirroredEntry, State
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.fleet.store_reader import SHORT_WATCH_SECONDS, StoreReader
from cedarchute.metrics import Metrics
from cedarchute.platform.store_client import WATCH_WAIT_SECONDS, StoreUnavailableError
from cedarchute.platform.store_entry import StoreChange, StoreEntry, StoreListing
from cedarchute.supervisor import Supervisor

READERS = [
    BoxEntry(f"entry-{number}", Role.ENTRY, "a", "r", "", f"127.0.0.1:{number + 1}")
    for number in range(READERS_PER_DOMAIN)
]


class Store:
    """Fake store that records watches and listings."""

    def __init__(self):
        self.watches = []
        self.listings = []
        self.is_down = False
        self.revision = 4

    def list(self, prefix, may_be_old=False):
        self.listings.append(may_be_old)
        return StoreListing((StoreEntry("k/1", "listed", 3),), self.revision)

    def wait_changes(self, prefix, after, seconds):
        self.watches.append(round(seconds, 1))
        if self.is_down:
            raise StoreUnavailableError("down")
        self.revision += 1
        entry = StoreEntry("k/1", "watched", self.revision)
        return [StoreChange("k/1", entry, self.revision)], self.revision


class Boxes:
    """Fake state client: returns the state set for a port, or fails."""

    def __init__(self):
        self.states = {}
        self.asked = []

    def ask(self, address, after, wait_seconds):
        self.asked.append((address.port, wait_seconds))
        state = self.states.get(address.port)
        if state is None:
            raise StateUnavailableError("silent")
        return state

    def tell_all(self, state):
        self.states = {number + 1: state for number in range(len(READERS))}


class Readers:
    boxes = READERS

    def choose(self, poll_number):
        return self.boxes[poll_number % len(self.boxes)] if self.boxes else None


def make_reader(monkeypatch):
    """Return a reader that has not listed the store yet."""
    monkeypatch.setattr(store_reader.eventlet, "sleep", lambda seconds: None)
    follower = RecordingFollower()
    mirror = StoreMirror({"k/": follower})
    metrics = Metrics()
    reader = StoreReader(Store(), mirror, Readers(), Supervisor(metrics), metrics)
    reader.state_client = Boxes()
    reader.follower = follower
    return reader


@pytest.fixture
def reader(monkeypatch):
    reader = make_reader(monkeypatch)
    reader.read_once()
    return reader


def tell(revision, value, steady_seconds=9.0, is_whole=False):
    entry = MirroredEntry("k/1", value, revision)
    return State(revision, is_whole, (entry,), (), steady_seconds)


def test_a_box_with_readers_makes_no_call_to_the_store(reader):
    reader.state_client.tell_all(tell(7, "told"))
    for _ in range(4):
        reader.read_once()
    assert reader.follower.entries == {"1": "told"}
    assert reader.mirror.revision == 7
    assert reader.store.watches == []


def test_what_one_reader_does_not_hear_of_the_next_tells(reader):
    reader.state_client.states = {1: tell(4, "listed"), 2: tell(9, "new")}
    for _ in READERS:
        reader.read_once()
    assert reader.follower.entries == {"1": "new"}


def test_only_the_first_listing_may_be_old(reader):
    reader.needs_listing = True
    reader.read_once()
    assert reader.store.listings == [True, False]


def test_a_box_without_readers_watches_the_store(reader):
    reader.readers.boxes = []
    reader.read_once()
    assert reader.follower.entries == {"1": "watched"}
    assert reader.state_client.asked == []
    assert reader.store.watches == [WATCH_WAIT_SECONDS]


@pytest.mark.parametrize("state", [None, tell(3, "old", steady_seconds=0.0)])
def test_a_box_that_lost_all_its_readers_watches_the_store_shortly(reader, state):
    reader.state_client.tell_all(state)
    reader.read_once()
    assert reader.store.watches == []
    reader.read_once()
    assert reader.follower.entries == {"1": "watched"}
    assert reader.store.watches == [SHORT_WATCH_SECONDS]
    reader.read_once()
    assert reader.store.watches == [SHORT_WATCH_SECONDS] * 2
    waits = [wait_seconds for _, wait_seconds in reader.state_client.asked]
    assert waits[0] > 0
    assert waits[1:] == [0.0] * len(waits[1:])
    reader.state_client.tell_all(tell(9, "told"))
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}
    reader.read_once()
    assert len(reader.store.watches) == 2


def test_what_a_reader_that_lost_the_store_knows_is_taken_all_the_same(reader):
    reader.state_client.tell_all(tell(7, "told", steady_seconds=0.0))
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}


def test_the_first_watch_after_a_failure_is_short(reader):
    reader.readers.boxes = []
    reader.record_failure("cut")
    reader.read_once()
    reader.read_once()
    assert reader.store.watches == [SHORT_WATCH_SECONDS, WATCH_WAIT_SECONDS]


def test_the_first_watch_after_an_unanswered_renewal_is_short(reader):
    reader.readers.boxes = []
    reader.start = lambda: None
    reader.note_reachable(False)
    reader.note_reachable(True)
    reader.read_once()
    reader.read_once()
    assert reader.store.watches == [SHORT_WATCH_SECONDS, WATCH_WAIT_SECONDS]


def test_entries_that_lapsed_with_the_store_are_expected_back_by_listeners(reader):
    reader.mirror.record_outage("down")
    backs = reader.follower.back
    reader.state_client.tell_all(tell(7, "told", steady_seconds=0.1))
    reader.read_once()
    assert reader.follower.back == backs + 1
    assert reader.mirror.unavailable_since is None


def test_a_box_cut_off_itself_does_not_take_its_readers_word_for_its_own_way(reader):
    reader.note_reachable(False)
    backs = reader.follower.back
    reader.state_client.tell_all(tell(7, "told", steady_seconds=0.1))
    reader.read_once()
    assert reader.follower.entries == {"1": "told"}
    assert reader.follower.back == backs + 1
    assert reader.mirror.unavailable_since is not None


@pytest.mark.parametrize(("answered", "starts"), [([True], 0), ([False, True], 1)])
def test_a_listing_under_way_is_restarted_only_after_an_unanswered_renewal(
    monkeypatch, answered, starts
):
    """A registration that was faster than the first listing restarted it."""
    reader = make_reader(monkeypatch)
    started = []
    reader.start = lambda: started.append(True)
    list_store = reader.store.list

    def list_slowly(prefix, may_be_old=False):
        for is_answered in answered:
            reader.note_reachable(is_answered)
        return list_store(prefix, may_be_old)

    reader.store.list = list_slowly
    reader.read_once()
    assert len(started) == starts


@pytest.mark.parametrize("is_continued", [False, True])
def test_a_first_listing_is_not_repeated_after_the_whole_state_of_another_box(
    monkeypatch, is_continued
):
    """The listing was overtaken while it was under way, and read once more."""
    reader = make_reader(monkeypatch)
    list_store = reader.store.list

    def list_overtaken(prefix, may_be_old=False):
        listing = list_store(prefix, may_be_old)
        reader.mirror.take_state(tell(5 if is_continued else 7, "told", is_whole=True))
        if is_continued:
            reader.mirror.take_state(tell(7, "told"))
        return listing

    reader.store.revision = 6 if is_continued else 4
    reader.store.list = list_overtaken
    reader.read_once()
    assert not reader.needs_listing
    assert reader.store.listings == [True]
    assert reader.follower.entries == {"1": "told"}
    assert reader.metrics.totals["store.listings_overtaken"] == 1


def test_a_listing_older_than_what_a_box_told_meanwhile_is_read_anew(reader):
    reader.state_client.tell_all(tell(7, "told"))
    reader.read_once()
    reader.needs_listing = True
    reader.read_once()
    assert reader.needs_listing
    assert reader.follower.entries == {"1": "told"}
    reader.store.revision = 7
    reader.read_once()
    assert not reader.needs_listing
