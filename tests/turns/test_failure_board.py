from __future__ import annotations

import pytest

from cedarchute.turns import failure_board
from cedarchute.turns.failure_board import (
    KEPT_FAILURES,
    TOLD_TARGETS,
    WINDOW_SECONDS,
    FailureBoard,
)


class Clock:
    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(failure_board, "time", clock)
    return clock


@pytest.fixture
def board(clock):
    return FailureBoard()


def test_failures_of_several_boxes_are_counted_together(board):
    board.take(("a", "b"))
    board.take(("a",))
    assert board.tell() == {"a": 2, "b": 1}


def test_only_the_last_moment_counts(board, clock):
    board.take(("a",))
    clock.now += WINDOW_SECONDS * 0.9
    board.take(("b",))
    clock.now += WINDOW_SECONDS * 0.2
    assert board.tell() == {"b": 1}


def test_what_is_kept_and_told_is_bounded(board):
    for number in range(KEPT_FAILURES):
        board.take((f"t-{number}",))
    board.take(("worst", "worst"))
    told = board.tell()
    assert len(board.failures) == KEPT_FAILURES
    assert len(told) == TOLD_TARGETS
    assert told["worst"] == 2
