"""Tests reading target entries, including invalid ones of other writers."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cedarchute.fleet.turned_away import MOST_LINES, PERIOD_SECONDS, TurnedAway
from cedarchute.metrics import Metrics
from cedarchute.platform.followers import TargetFollower
from cedarchute.platform.routing_document import DocumentError, read_target
from cedarchute.routing.target_registry import TargetRegistry

SOUND = {
    "Service": "x",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "CallSeq": 3,
    "born": 1_790_000_000_000,
}
NESTED = '{"Service": ' + "[" * 5000 + "]" * 5000 + "}"
DEEP_EXTRA = json.dumps(SOUND)[:-1] + ', "More": ' + "[" * 5000 + "]" * 5000 + "}"


def replaced(**fields):
    return json.dumps({**SOUND, **fields})


def lacking(field):
    return json.dumps({key: SOUND[key] for key in SOUND if key != field})


BROKEN = [
    *[lacking(field) for field in ("Service", "Address", "Zone", "Slots", "State")],
    replaced(Service=""),
    replaced(Service=7),
    replaced(State="melting"),
    replaced(State=None),
    replaced(Slots=0),
    replaced(Slots=-3),
    replaced(Slots=True),
    replaced(Slots="8"),
    replaced(Slots=10**30),
    replaced(Slots=2.5),
    replaced(ColdLeftMs=-1),
    replaced(ColdLeftMs="soon"),
    replaced(born=True),
    replaced(born=-1),
    replaced(born="1790000000000"),
    replaced(born=1.5),
    replaced(Address="name.example:80"),
    replaced(Address="0.0.0.0:80"),
    replaced(Address="224.0.0.1:80"),
    replaced(Address="10.0.0.1:0"),
    replaced(Address="10.0.0.1:²"),
    replaced(Address=["10.0.0.1", 80]),
    replaced(Slots=float("nan")),
    replaced(Slots=float("inf")),
    replaced(Filler="x" * 100_000),
    NESTED,
    DEEP_EXTRA,
    "",
    "null",
    "[]",
    "17",
    '"text"',
    '{"Service": "x"',
]


def make_follower():
    metrics = Metrics()
    registry = TargetRegistry(lambda entry: None)
    return TargetFollower(registry, TurnedAway(metrics)), registry, metrics


def test_the_sound_entry_is_read():
    entry = read_target("i-1", json.dumps(SOUND))
    assert (entry.id, entry.started_at_ms) == ("i-1", 1_790_000_000_000)


@pytest.mark.parametrize("text", BROKEN)
def test_an_entry_that_names_no_target_is_turned_away(text):
    with pytest.raises(DocumentError):
        read_target("i-1", text)


@pytest.mark.parametrize("key", ["", "a b", "a\r\nHold: x", "ü", "a\x00", "a\u2028"])
def test_an_id_that_cannot_stand_in_a_header_is_turned_away(key):
    with pytest.raises(DocumentError):
        read_target(key, json.dumps(SOUND))


@pytest.mark.parametrize("text", BROKEN)
def test_an_entry_that_turns_unreadable_gets_nothing_new_until_it_is_read_again(text):
    follower, registry, metrics = make_follower()
    follower.put("i-1", json.dumps(SOUND))
    follower.put("i-2", json.dumps(SOUND))
    follower.put("i-1", text)
    assert [entry.id for entry in registry.list_ready("x")] == ["i-2"]
    assert "i-1" in registry.known.entries
    assert metrics.totals["store.target_turned_away"] == 1
    assert metrics.notes["store.target_turned_away"].startswith("i-1: ")
    follower.put("i-1", json.dumps(SOUND))
    assert {entry.id for entry in registry.list_ready("x")} == {"i-1", "i-2"}


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
entries = st.one_of(
    st.text(max_size=60),
    st.dictionaries(st.sampled_from(sorted(SOUND)), values).map(json.dumps),
    st.dictionaries(st.sampled_from(sorted(SOUND)), values).map(
        lambda fields: json.dumps({**SOUND, **fields})
    ),
)


@given(st.lists(st.tuples(st.text(max_size=8), entries), max_size=8))
def test_whatever_others_write_the_sound_entries_are_served(written):
    follower, registry, _ = make_follower()
    follower.put("i-sound", json.dumps(SOUND))
    for key, text in written:
        follower.put(f"other/{key}", text)
    ready = registry.list_ready("x")
    assert "i-sound" in {entry.id for entry in ready}
    assert all(entry.slots >= 1 for entry in ready)


def test_lines_of_entries_turned_away_are_bounded(caplog):
    clock = [0.0]
    metrics = Metrics()
    turned_away = TurnedAway(metrics, lambda: clock[0])
    for number in range(50):
        turned_away.note("target", f"i-{number}", "why " * 1000)
    assert len(caplog.records) == MOST_LINES
    assert max(len(record.why) for record in caplog.records) <= 200
    clock[0] = PERIOD_SECONDS
    turned_away.note("target", "i-last", "why")
    assert len(caplog.records) == MOST_LINES + 1
    assert metrics.totals["store.target_turned_away"] == 51
    text = metrics.render_text()
    reason = 'name="store.target_turned_away",reason="i-last: why"'
    assert f"cedarchute_last_reason{{{reason}}} 1.0" in text
