"""Finds the run of a call on the box that owns its program."""

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
    """Starts runs for new calls and finds those of known keys."""

    def __init__(self, registry: ProgramRegistry, runner: CallRunner) -> None:
        self.registry = registry
        self.runner = runner

    def find(self, exchange: CallExchange) -> CallRun:
        """Return the run of a request, starting it if the call is new.

        Raises
        ------
        Problem
            ``unknown_key`` when a response is fetched for a key without a run.
        """
        program = self.registry.find(exchange.program)
        if exchange.request is not None:
            return self.runner.start(program, exchange.key, exchange.request)
        run = self.runner.find(program, exchange.key)
        if run is None:
            # A previous owner may have run the call: a repeatable call is recorded
            # only with its outcome.
            may_have_run = program.takeover_count > 0
            raise Problem(
                "unknown_key",
                f"No call has the key {exchange.key}.",
                status=404,
                verdict=Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN,
            )
        return run
