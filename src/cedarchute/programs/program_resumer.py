"""Goes on with programs that this box has taken over."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.operators.site_file import ServiceKind
from cedarchute.problem import Problem
from cedarchute.programs.call_run import CallRun
from cedarchute.programs.dispatched_call import DispatchedCall
from cedarchute.programs.records import CallFinished, TakenOver
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.programs.call_state import CallState
    from cedarchute.programs.dispatcher import Dispatcher
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry

log = logging.getLogger("cedarchute.takeover")


class ProgramResumer:
    """Records the takeover of a program, then brings its open calls to an outcome.

    Parameters
    ----------
    box : str
        The identity of this box, written into the records of a takeover.
    """

    def __init__(
        self,
        box: str,
        home: ProgramRegistry,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        self.box = box
        self.home = home
        self.dispatcher = dispatcher
        self.metrics = metrics

    def resume(self, program: Program) -> None:
        """Go on with a program that this box has taken over.

        An open call that may not be repeated is never sent again: its caller gets
        ``may have run``. A model's stream is read on at the engine.
        """
        runs = {}
        for entry in program.open_calls:
            run = CallRun(entry.key, entry.digest, entry.attempt)
            runs[entry.key] = program.runs[entry.key] = run
        try:
            with program.turn_lock:
                self.home.append_surely(program, [TakenOver(owner=self.box)])
                program.is_ready = True
                for entry in list(program.open_calls):
                    self.finish_adopted(program, entry, runs[entry.key])
        except (Problem, PartitionMovedError) as error:
            log.info("Takeover of %s interrupted: %s.", program.id, error)
            for run in runs.values():
                run.mark_moved()
        finally:
            for key in runs:
                program.runs.pop(key, None)
        if program.ended is not None:
            for listener in self.home.ended_listeners:
                listener(program)

    def finish_adopted(self, program: Program, entry: CallState, run: CallRun) -> None:
        """Bring one open call of a program taken over to its outcome."""
        if entry.kind is ServiceKind.PLAIN and not entry.repeatable:
            self.metrics.count("takeover.may_have_run")
            outcome = CallFinished(
                key=entry.key,
                verdict=Verdict.MAY_HAVE_RUN,
                status=502,
                finish_reason="error",
                tokens=entry.reserved_tokens,
                code="outcome_unknown",
                detail="The box that sent the call was lost before its outcome was "
                "kept; the call may have run and is not sent again.",
            )
        else:
            intent = program.read_intent(entry)
            call = DispatchedCall(program, intent, entry, run)
            is_model = entry.kind is ServiceKind.MODEL
            outcome = self.dispatcher.dispatch(
                call, is_resumed=is_model, may_have_run=True
            )
        self.home.append_surely(program, [outcome])
        run.finish(outcome)
