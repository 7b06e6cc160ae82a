"""Finds the run of a call on the box that is its home."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.border.call_exchange import CallExchange
    from cedarchute.programs.call_run import CallRun
    from cedarchute.programs.call_runner import CallRunner
    from cedarchute.programs.program_registry import ProgramRegistry


class RunFinder:
    """Starts the run of a new call, and finds that of a known key."""

    def __init__(self, home: ProgramRegistry, runner: CallRunner) -> None:
        self.home = home
        self.runner = runner

    def find(self, exchange: CallExchange) -> CallRun:
        """Return the run that a request asks for, started if it is new."""
        program = self.home.find(exchange.program)
        if exchange.request is not None:
            return self.runner.start(program, exchange.key, exchange.request)
        run = self.runner.find(program, exchange.key)
        if run is None:
            # The home before may have run a call that may be repeated: of these it
            # kept no record before the outcome.
            may_have_run = program.takeover_count > 0
            raise Problem(
                "unknown_key",
                f"No call has the key {exchange.key}.",
                status=404,
                verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
            )
        return run
