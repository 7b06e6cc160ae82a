"""What is known of the targets that a request was sent to."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class RunState(IntEnum):
    """How a run of a request at a target stands; a later state outweighs the others.

    The load that this answers: a request that ends whatever runs it, by ways that no
    connection shows, in attempts that overlap; and innocent ones whose targets fail
    but live on. A run counts against its request until its target is shown alive.

    Attributes
    ----------
    RUNNING : int
        The target was sent the request and has not answered.
    OPEN : int
        The run failed, and nothing shows whether its target lives.
    ENDED : int
        The target ended.
    CLEARED : int
        The target was alive after the run, or the request did not reach it.
    """

    RUNNING = 0
    OPEN = 1
    ENDED = 2
    CLEARED = 3


class TargetRun(Record, order=True):
    """The last run at one target; boxes keep the larger one.

    Attributes
    ----------
    generation : int
        How often the request was sent there again after an earlier run was cleared.
    """

    generation: int = 0
    state: RunState = RunState.RUNNING

    def advance(self, state: RunState) -> TargetRun:
        """Return the run after `state` was seen; a cleared one begins anew."""
        if self.state is RunState.CLEARED and state is not RunState.CLEARED:
            return TargetRun(self.generation + 1, state)
        return max(self, TargetRun(self.generation, state))


def list_suspects(runs: Mapping[str, TargetRun]) -> dict[str, RunState]:
    """Return the targets that ended under a request, or may have, or still may."""
    return {
        target: run.state
        for target, run in runs.items()
        if run.state is not RunState.CLEARED
    }


def are_decided(states: Iterable[RunState]) -> bool:
    """Return whether nothing more can be learnt of runs."""
    return all(state is RunState.ENDED for state in states)
