"""Backoff of the registration while the store is unavailable."""

from __future__ import annotations

import msgspec
import pytest

from cedarchute.fleet import registration
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.registration import RENEW_SECONDS, Registration
from cedarchute.fleet.store_mirror import StoreMirror
from cedarchute.metrics import Metrics
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.platform.store_entry import StoreEntry, StoreListing

ENTRY = BoxEntry("entry-1", Role.ENTRY, "a", "r", "", "127.0.0.1:1")


class Store:
    """Fake store whose renewals succeed or fail in the order of `answers`."""

    def __init__(self, answers):
        self.answers = list(answers)

    def grant_lease(self, seconds):
        return 7

    def put(self, key, value, lease):
        return 1

    def renew_lease(self, lease):
        if not self.answers:
            raise StopTestError
        if not self.answers.pop(0):
            raise StoreUnavailableError("down")


class StopTestError(Exception):
    """Raised when all answers are used up."""


@pytest.fixture
def run(monkeypatch):
    """Return a function that runs a registration and returns its delays."""

    def play(answers):
        waits = []
        monkeypatch.setattr(registration.eventlet, "sleep", waits.append)
        box_registration = Registration(
            Store(answers), ENTRY, lambda reachable: None, Metrics()
        )
        with pytest.raises(StopTestError):
            box_registration.run_forever()
        return waits

    return play


def test_a_store_that_stays_silent_is_asked_more_rarely(run):
    waits = run([False] * 5)
    assert waits == [RENEW_SECONDS, 0.5, 1.0, 1.5, 1.5, 1.5]


def test_once_it_answers_all_is_as_before(run):
    waits = run([False, False, True, False])
    assert waits == [RENEW_SECONDS, 0.5, 1.0, RENEW_SECONDS, 0.5]


class WrittenStore:
    """Fake store that keeps entries; `during` runs within its next write."""

    def __init__(self):
        self.written = []
        self.during = lambda: None
        self.is_down = False

    def grant_lease(self, seconds):
        return 7

    def renew_lease(self, lease):
        pass

    def put(self, key, value, lease):
        if self.is_down:
            raise StoreUnavailableError("down")
        during, self.during = self.during, lambda: None
        during()
        self.written.append(msgspec.json.decode(value, type=BoxEntry))
        return len(self.written)


@pytest.fixture
def store():
    return WrittenStore()


@pytest.fixture
def box_registration(store):
    return Registration(store, ENTRY, lambda reachable: None, Metrics())


def test_a_stop_during_the_first_write_was_not_published(store, box_registration):
    store.during = box_registration.leave
    box_registration.renew_once()
    assert store.written[-1].leaving


def test_a_stop_while_the_store_was_down_was_never_published(store, box_registration):
    box_registration.renew_once()
    store.is_down = True
    box_registration.leave()
    assert not store.written[-1].leaving
    store.is_down = False
    box_registration.renew_once()
    assert store.written[-1].leaving
    box_registration.renew_once()
    assert len(store.written) == 2


@pytest.fixture
def mirror(store, box_registration):
    box_registration.mirror = StoreMirror({})
    return box_registration.mirror


def show(mirror, revision, written_at):
    """Let the mirror know the store up to a revision; the entry is from another."""
    found = written_at and [StoreEntry("cedarchute/boxes/entry-1", "{}", written_at)]
    mirror.apply_listing(StoreListing(found or [], revision))


# A late write put an entry back under a lease that had been given up, and the entry
# vanished with that lease for good.
@pytest.mark.parametrize("written_at", [0, 8])
def test_an_entry_that_a_late_write_replaced_is_written_again(
    store, box_registration, mirror, written_at
):
    box_registration.renew_once()
    show(mirror, 9, written_at)
    box_registration.renew_once()
    assert len(store.written) == 2


def test_an_entry_is_written_once_while_the_mirror_is_behind(
    store, box_registration, mirror
):
    store.written = [None] * 5
    for _ in range(3):
        box_registration.renew_once()
    show(mirror, 5, 4)
    box_registration.renew_once()
    show(mirror, 7, 6)
    box_registration.renew_once()
    assert len(store.written) == 6
