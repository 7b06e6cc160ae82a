from __future__ import annotations

import time
from types import SimpleNamespace

import eventlet
import pytest
from recording_follower import RecordingFollower

from cedarchute.fleet import store_mirror
from cedarchute.fleet.state_messages import MirroredEntry
from cedarchute.fleet.store_mirror import MAX_KEPT_REMOVALS, StoreMirror
from cedarchute.platform.store_entry import StoreChange, StoreEntry, StoreListing


def make_mirror():
    follower = RecordingFollower()
    return StoreMirror({"a/": follower}), follower


def entry(key, value, version):
    return StoreEntry(key, value, version)


def change(key, value, version):
    found = None if value is None else entry(key, value, version)
    return StoreChange(key, found, version)


def test_a_listing_brings_what_is_there_and_takes_what_is_not():
    mirror, follower = make_mirror()
    listing = StoreListing((entry("a/1", "x", 3), entry("b/1", "z", 4)), 5)
    mirror.apply_listing(listing)
    assert follower.entries == {"1": "x"}
    mirror.apply_listing(StoreListing((entry("a/2", "y", 7),), 8))
    assert follower.entries == {"2": "y"}
    assert mirror.revision == 8


def test_changes_that_come_again_change_nothing():
    mirror, follower = make_mirror()
    mirror.apply_changes([change("a/1", "new", 9), change("a/1", "old", 6)], 9)
    assert follower.entries == {"1": "new"}
    mirror.apply_changes([change("a/1", None, 7)], 9)
    assert follower.entries == {"1": "new"}
    mirror.apply_changes([change("a/1", None, 10)], 10)
    assert follower.entries == {}


def test_what_another_box_knows_is_taken_only_if_it_is_newer():
    ahead, _ = make_mirror()
    ahead.apply_listing(StoreListing((entry("a/1", "x", 3),), 4))
    ahead.apply_changes([change("a/2", "y", 6), change("a/1", None, 7)], 7)
    behind, follower = make_mirror()
    behind.apply_listing(StoreListing((entry("a/1", "x", 3),), 4))
    state = ahead.tell(behind.revision)
    assert not state.is_whole
    assert behind.take_state(state)
    assert follower.entries == {"2": "y"}
    assert not behind.take_state(state)
    assert not ahead.take_state(behind.tell(3))


def test_a_box_that_knows_nothing_is_told_everything():
    ahead, _ = make_mirror()
    ahead.apply_listing(StoreListing((entry("a/1", "x", 3),), 4))
    new, follower = make_mirror()
    assert new.take_state(ahead.tell(None))
    assert follower.entries == {"1": "x"}


def test_a_box_that_listed_a_moment_earlier_is_told_what_changed_and_no_more():
    common = tuple(entry(f"a/{n}", "x", 1) for n in range(5))
    behind, follower = make_mirror()
    behind.apply_listing(StoreListing((*common, entry("a/gone", "x", 2)), 2))
    ahead, _ = make_mirror()
    ahead.apply_listing(StoreListing((*common, entry("a/new", "y", 4)), 4))
    state = ahead.tell(behind.revision)
    assert [told.key for told in state.entries] == ["a/new"]
    assert behind.take_state(state)
    assert follower.entries == {**{str(n): "x" for n in range(5)}, "new": "y"}
    assert behind.tell(None).entries == ahead.tell(None).entries
    third, third_follower = make_mirror()
    third.apply_listing(StoreListing((*common, entry("a/gone", "x", 2)), 2))
    third.take_state(behind.tell(2))
    assert third_follower.entries == follower.entries


def test_removals_beyond_what_is_kept_are_told_by_the_keys_that_are_left():
    ahead, _ = make_mirror()
    count = MAX_KEPT_REMOVALS + 5
    entries = tuple(entry(f"a/{n}", "x", 1) for n in range(count))
    ahead.apply_listing(StoreListing(entries, 1))
    for number in range(count):
        version = number + 2
        ahead.apply_changes([change(f"a/{number}", None, version)], version)
    assert ahead.tell(1).keys == ()
    assert ahead.tell(1).entries == ()
    assert ahead.tell(1, takes_keys=False).is_whole
    assert ahead.tell(ahead.revision - 1).keys is None
    behind, follower = make_mirror()
    behind.apply_listing(StoreListing(entries, 1))
    behind.take_state(ahead.tell(1))
    assert follower.entries == {}


def test_followers_hear_once_that_the_store_is_back():
    mirror, follower = make_mirror()
    mirror.record_recovery()
    mirror.record_recovery()
    assert follower.back == 1
    mirror.record_outage("silent")
    mirror.record_outage("silent")
    mirror.record_recovery()
    assert follower.back == 2
    assert mirror.tell(None).entries == ()


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(store_mirror.time, "monotonic", lambda: clock.now)
    return clock


@pytest.mark.parametrize(("others_lost_too", "backs"), [(False, 1), (True, 2)])
def test_entries_lapse_with_the_store_not_with_the_way_of_one_box(
    clock, others_lost_too, backs
):
    other, _ = make_mirror()
    other.record_recovery()
    mine, follower = make_mirror()
    mine.record_recovery()
    clock.now += 60
    mine.record_outage("silent")
    if others_lost_too:
        other.record_outage("silent")
    clock.now += 5
    mine.take_state(other.tell(0))
    clock.now += 0.5
    mine.record_recovery()
    assert follower.back == backs


@pytest.mark.parametrize(("seconds", "backs"), [(1.0, 1), (2.5, 2)])
def test_no_entry_lapses_in_an_outage_shorter_than_a_lease(clock, seconds, backs):
    follower = RecordingFollower()
    mirror = StoreMirror({"a/": follower}, min_outage_seconds=2.0)
    mirror.record_recovery()
    mirror.apply_listing(StoreListing((), 4), asked_at=clock.now)
    mirror.record_outage("no answer")
    clock.now += seconds
    mirror.record_recovery()
    assert follower.back == backs


def test_a_box_that_is_back_a_moment_earlier_proves_nothing(clock):
    other, _ = make_mirror()
    mine, follower = make_mirror()
    other.record_recovery()
    clock.now += 1
    mine.take_state(other.tell(0))
    mine.record_recovery()
    assert follower.back == 1


def test_whoever_waits_for_news_hears_it_at_once():
    mirror, _ = make_mirror()
    mirror.apply_listing(StoreListing((), 4))
    heard = []

    def wait(after):
        mirror.wait_for_update(after, 60.0)
        heard.append(after)

    waiting = [eventlet.spawn(wait, after) for after in (3, 4)]
    eventlet.sleep(0)
    assert heard == [3]
    mirror.apply_changes([change("a/1", "x", 5)], 5)
    waiting[1].wait()
    lost = eventlet.spawn(wait, 5)
    eventlet.sleep(0)
    mirror.record_recovery()
    mirror.record_outage("silent")
    lost.wait()
    assert heard == [3, 4, 5]


def test_a_listing_older_than_what_is_known_brings_nothing_back():
    mirror, follower = make_mirror()
    ahead, _ = make_mirror()
    ahead.apply_listing(StoreListing((entry("a/2", "y", 6),), 9))
    assert mirror.take_state(ahead.tell(None))
    assert not mirror.apply_listing(StoreListing((entry("a/gone", "x", 3),), 5))
    assert follower.entries == {"2": "y"}


def test_a_proof_of_a_newer_configuration_proves_nothing_here():
    mirror = StoreMirror({}, "a/config")
    mirror.apply_changes([change("a/config", "x", 3)], 3)
    mirror.note_proof(4, 100.0)
    assert mirror.proof.age_seconds == float("inf")
    mirror.note_proof(3, 100.0)
    assert mirror.proof.proven_at == 100.0


def test_a_proof_is_told_with_its_age_and_counts_from_the_question():
    ahead = StoreMirror({}, "a/config")
    ahead.apply_changes([change("a/config", "x", 3)], 3)
    ahead.note_proof(3, time.monotonic() - 2.0)
    behind = StoreMirror({}, "a/config")
    asked_at = time.monotonic() - 1.0
    behind.take_state(ahead.tell(None), asked_at)
    assert 3.0 <= behind.proof.age_seconds < 3.5


def test_a_configuration_read_for_a_proof_is_told_before_the_watch_brings_it():
    follower = RecordingFollower()
    ahead = StoreMirror({}, "a/config")
    behind = StoreMirror({"a/": follower}, "a/config")
    for mirror in (ahead, behind):
        mirror.apply_changes([change("a/config", "x", 3)], 5)
    ahead.take_entry(MirroredEntry("a/config", "y", 7))
    ahead.note_proof(7, time.monotonic())
    behind.take_state(ahead.tell(behind.revision), time.monotonic())
    assert follower.entries == {"config": "y"}
    assert behind.proof.age_seconds < 1.0


def test_entries_are_complete_up_to_what_was_applied_not_by_the_proof(clock):
    ahead, _ = make_mirror()
    ahead.apply_listing(StoreListing((entry("a/1", "x", 3),), 4), clock.now)
    clock.now += 1.5
    # A proof of the configuration whose changes could not be fetched.
    ahead.note_proof(0, clock.now)
    behind, _ = make_mirror()
    behind.apply_listing(StoreListing((entry("a/1", "x", 3),), 4))
    assert behind.completeness.age_seconds == float("inf")
    behind.take_state(ahead.tell(4), clock.now)
    assert behind.proof.age_seconds == 0.0
    assert behind.completeness.age_seconds == 1.5


def test_a_state_of_a_box_that_is_behind_completes_nothing_newer(clock):
    behind, _ = make_mirror()
    ahead, _ = make_mirror()
    behind.apply_listing(StoreListing((entry("a/1", "x", 3),), 4), clock.now)
    clock.now += 1.0
    ahead.apply_listing(StoreListing((entry("a/1", "x", 3),), 9), clock.now)
    ahead.take_state(behind.tell(9), clock.now)
    assert ahead.completeness.age_seconds == 0.0
