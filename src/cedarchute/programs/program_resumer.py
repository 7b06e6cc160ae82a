"""Resumes programs after this box has taken them over."""

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
    """Records the takeover of a program and resolves its open calls.

    Parameters
    ----------
    box : str
        The identity of this box, stored in the takeover record.
    """

    def __init__(
        self,
        box: str,
        registry: ProgramRegistry,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        self.box = box
        self.registry = registry
        self.dispatcher = dispatcher
        self.metrics = metrics

    def record_takeover(self, program: Program) -> None:
        """Append a record under the new epoch, which outranks unacknowledged tails.

        Raises
        ------
        PartitionMovedError
            When another box owns the program now.
        """
        self.registry.append_without_waiting(program, TakenOver(owner=self.box))

    def resume(self, program: Program) -> None:
        """Resume a program that this box has taken over and recorded as such.

        An open call that is not repeatable is not sent again: its caller gets the
        verdict ``may have run``. The stream of a model call is resumed at the engine.
        """
        runs = {}
        for call_state in program.open_calls:
            run = CallRun(call_state.key, call_state.digest, call_state.attempt)
            runs[call_state.key] = program.runs[call_state.key] = run
        try:
            with program.turn_lock:
                self.registry.wait_until_replicated(program)
                program.is_ready = True
                for call_state in list(program.open_calls):
                    self.resolve_open_call(program, call_state, runs[call_state.key])
        except (Problem, PartitionMovedError) as error:
            log.info("Takeover of %s interrupted: %s.", program.id, error)
            for run in runs.values():
                run.mark_moved()
        finally:
            for key in runs:
                program.runs.pop(key, None)
        if program.ended is not None:
            for listener in self.registry.ended_listeners:
                listener(program)

    def resolve_open_call(
        self, program: Program, call_state: CallState, run: CallRun
    ) -> None:
        """Determine and record the outcome of one open call."""
        if call_state.kind is ServiceKind.PLAIN and not call_state.repeatable:
            self.metrics.count("takeover.may_have_run")
            outcome = CallFinished(
                key=call_state.key,
                verdict=Verdict.MAY_HAVE_RUN,
                status=502,
                finish_reason="error",
                tokens=call_state.reserved_tokens,
                code="outcome_unknown",
                detail="The box that sent the call was lost before its outcome was "
                "kept; the call may have run and is not sent again.",
            )
        else:
            intent = program.read_intent(call_state)
            call = DispatchedCall(program, intent, call_state, run)
            is_model = call_state.kind is ServiceKind.MODEL
            outcome = self.dispatcher.dispatch(
                call, is_resumed=is_model, may_have_run=True
            )
        self.registry.append_until_replicated(program, [outcome])
        run.finish(outcome)
