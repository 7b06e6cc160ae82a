"""How a run judges that callers are served again."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace

import pytest

from experiments.soak import soak_run
from experiments.soak.soak_run import await_programs
from experiments.waiting import ConditionError


def make_caller(finished=0):
    return SimpleNamespace(name="c0", finished=finished, answered_turns=0)


def test_a_caller_that_is_served_slowly_was_taken_for_stuck(monkeypatch):
    monkeypatch.setattr(soak_run, "RECOVERY_SECONDS", 0.5)
    caller = make_caller()

    def work():
        for number in range(6):
            time.sleep(0.2)
            caller.answered_turns += 1
            caller.finished = number // 2
        caller.finished = 3

    thread = threading.Thread(target=work)
    thread.start()
    await_programs(caller, 3, 10)
    thread.join()


def test_a_caller_without_an_answer_is_found(monkeypatch):
    monkeypatch.setattr(soak_run, "RECOVERY_SECONDS", 0.1)
    with pytest.raises(ConditionError, match="c0 finishes programs again"):
        await_programs(make_caller(2), 3, 10)


def test_a_caller_whose_programs_do_not_end_is_found(monkeypatch):
    monkeypatch.setattr(soak_run, "RECOVERY_SECONDS", 60.0)
    caller = make_caller(2)
    caller.answered_turns = 11
    with pytest.raises(ConditionError, match="c0 has 11 turns"):
        await_programs(caller, 3, 10)
