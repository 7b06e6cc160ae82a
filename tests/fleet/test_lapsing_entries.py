from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.fleet import lapsing_entries
from cedarchute.fleet.lapsing_entries import LAPSE_GRACE_SECONDS, LapsingEntries


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(lapsing_entries.time, "monotonic", lambda: clock.now)
    return clock


@pytest.fixture
def gone():
    return []


@pytest.fixture
def known(clock, gone):
    entries = LapsingEntries(gone.append)
    entries.put("a", "entry-a")
    return entries


def test_while_the_store_is_sound_an_entry_goes_at_once(known, gone):
    assert known.remove("a")
    assert gone == ["entry-a"]


def test_around_an_outage_an_entry_has_time_to_come_back(known, gone, clock):
    known.note_store_back()
    assert not known.remove("a")
    clock.now += LAPSE_GRACE_SECONDS / 2
    assert known.expire() == []
    known.put("a", "entry-a2")
    clock.now += LAPSE_GRACE_SECONDS
    assert known.expire() == []
    assert gone == []


def test_an_entry_that_does_not_come_back_is_gone(known, gone, clock):
    known.note_store_back()
    known.remove("a")
    clock.now += LAPSE_GRACE_SECONDS + 0.1
    assert known.expire() == ["a"]
    assert gone == ["entry-a"]


def test_an_entry_that_goes_later_than_the_return_has_left(known, gone, clock):
    known.note_store_back()
    clock.now += lapsing_entries.LAPSE_DETECTION_SECONDS + 0.1
    assert known.remove("a")
    assert gone == ["entry-a"]
