"""The order in which programs changed last."""

from __future__ import annotations

from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from cedarchute.turns import change_log
from cedarchute.turns.change_log import ChangeLog

CHANGES = st.lists(st.tuples(st.sampled_from("abcdef"), st.booleans()), max_size=60)


@given(changes=CHANGES, after=st.integers(0, 60), least=st.integers(0, 8))
def test_each_program_is_listed_once_at_its_last_change(changes, after, least):
    log = ChangeLog()
    expected = {}
    with mock.patch.object(change_log, "MIN_ENTRIES", least):
        for program, is_dropped in changes:
            if is_dropped:
                log.drop(program)
                expected.pop(program, None)
            else:
                log.note(program)
                expected[program] = log.position
    listed = list(log.list_after(after))
    assert listed == sorted((n, p) for p, n in expected.items() if n > after)


def test_earlier_changes_do_not_pile_up(monkeypatch):
    monkeypatch.setattr(change_log, "MIN_ENTRIES", 10)
    log = ChangeLog()
    for _ in range(1000):
        log.note("a")
    assert len(log.entries) <= 10
