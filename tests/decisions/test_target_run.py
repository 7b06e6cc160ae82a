"""Runs of a request at its targets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarchute.decisions.target_run import (
    RunState,
    TargetRun,
    are_decided,
    list_suspects,
)

states = st.sampled_from(RunState)
runs = st.builds(TargetRun, st.integers(0, 2), states)


def test_a_run_counts_until_its_target_is_shown_alive():
    run = TargetRun()
    assert list_suspects({"t": run})
    for state in (RunState.OPEN, RunState.ENDED):
        run = run.advance(state)
        assert list_suspects({"t": run})
    assert not list_suspects({"t": run.advance(RunState.CLEARED)})


def test_a_target_that_was_alive_counts_again_from_its_next_run_on():
    cleared = TargetRun().advance(RunState.CLEARED)
    assert cleared.advance(RunState.RUNNING) == TargetRun(1, RunState.RUNNING)
    assert cleared.advance(RunState.OPEN) > cleared


def test_nothing_more_can_be_learnt_of_targets_that_ended():
    assert are_decided([RunState.ENDED, RunState.ENDED])
    assert not are_decided([RunState.ENDED, RunState.OPEN])
    assert not are_decided([RunState.RUNNING])


@given(runs, states)
def test_what_is_seen_later_is_never_smaller(run, state):
    assert run.advance(state) >= run


@given(st.lists(runs, min_size=1))
def test_the_order_in_which_runs_arrive_does_not_matter(told):
    assert max(told) == max(reversed(told)) == max([*told, *told])
