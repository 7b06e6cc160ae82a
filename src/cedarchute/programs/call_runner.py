"""Runs the calls of programs in their order."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import (
    PartitionMovedError,
    make_copies_problem,
)
from cedarchute.operators.site_file import ServiceKind
from cedarchute.problem import Problem
from cedarchute.programs.call_run import CallRun
from cedarchute.programs.dispatched_call import DispatchedCall
from cedarchute.programs.records import CallFinished, CallIntended
from cedarchute.request_ids import current_request_id, set_request_id
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.limits.workspace_limits import WorkspaceLimits
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.operators.site_file import ServiceSection
    from cedarchute.programs.dispatcher import Dispatcher
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.programs.requests import CallRequest

log = logging.getLogger("cedarchute.programs")

BUSY_SECONDS: Final = 1.0


class CallRunner:
    """Accepts calls, runs each once, and keeps the answers."""

    def __init__(
        self,
        home: ProgramRegistry,
        dispatcher: Dispatcher,
        limits: WorkspaceLimits,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.home = home
        self.dispatcher = dispatcher
        self.limits = limits
        self.configuration = configuration
        self.clock = clock
        self.metrics = metrics
        self.active_call_count = 0

    def start(self, program: Program, key: str, request: CallRequest) -> CallRun:
        """Return the run of a call, started now unless its key is known.

        Raises
        ------
        Problem
            ``key_reused`` when the key stands for another request,
            ``out_of_order`` when it is not the turn of this call.
        """
        known = self.find(program, key)
        if known is not None:
            if known.digest != request.digest:
                self.metrics.count_refusal("key_reused")
                raise Problem(
                    "key_reused",
                    f"Key {key} stands for another request; use a new key.",
                    status=422,
                )
            self.metrics.count("calls.answered_again")
            return known
        self.home.check_open(program)
        self.check_turn(program, request)
        service = self.find_service(request)
        self.check_moving(program)
        self.limits.admit(program.workspace)
        seconds = request.deadline_seconds or service.timeout_seconds
        run = CallRun(key, request.digest, deadline=self.clock.wall() + seconds)
        program.runs[key] = run
        run.request_id = current_request_id()
        eventlet.spawn_n(self.run, program, run, request, service)
        return run

    def find(self, program: Program, key: str) -> CallRun | None:
        """Return the run of a known key, made from the records if it ended.

        Raises
        ------
        Problem
            ``copies_unavailable`` while it is in doubt whether holders kept the
            intent of the call.
        """
        run = program.runs.get(key)
        if run is not None:
            return run
        entry = program.calls.get(key)
        if entry is None:
            return None
        if entry.is_open:
            raise make_copies_problem(Verdict.MAY_HAVE_RUN)
        run = CallRun(key, entry.digest, entry.attempt)
        outcome = program.read_outcome(entry)
        run.add(outcome.text)
        run.finish(outcome)
        return run

    def check_turn(self, program: Program, request: CallRequest) -> None:
        """Refuse a call that names another turn than the next."""
        queued = sum(1 for key in program.runs if key not in program.calls)
        turn = len(program.calls) + queued + 1
        if request.turn is not None and request.turn != turn:
            self.metrics.count_refusal("out_of_order")
            raise Problem(
                "out_of_order",
                f"The next turn is {turn}, not {request.turn}.",
                status=409,
            )

    def check_moving(self, program: Program) -> None:
        """Refuse to start what would be cut off by a planned move."""
        if program.partition.is_handing_over:
            raise PartitionMovedError(program.partition.name)

    def find_service(self, request: CallRequest) -> ServiceSection:
        """Return the service that a call names."""
        site = self.configuration.site
        service = site.services.get(request.service) if site else None
        if service is None:
            self.metrics.count_refusal("unknown_service")
            raise Problem(
                "unknown_service",
                f"No [service {request.service}] in the accepted file.",
                status=404,
            )
        is_model = service.kind is ServiceKind.MODEL
        if is_model != bool(request.messages):
            wanted = "messages" if is_model else "body"
            raise Problem("wrong_content", f"Service {request.service} takes {wanted}.")
        return service

    def run(
        self,
        program: Program,
        run: CallRun,
        request: CallRequest,
        service: ServiceSection,
    ) -> None:
        """Run one call when its turn comes; the run tells how it ended."""
        self.active_call_count += 1
        set_request_id(run.request_id)
        try:
            with program.turn_lock:
                outcome = self.run_in_turn(program, run, request, service)
            run.finish(outcome)
            self.metrics.count("calls.finished")
        except Problem as problem:
            run.fail(problem)
        except PartitionMovedError:
            run.mark_moved()
        except Exception:
            log.exception("Call %s of %s failed.", run.key, program.id)
            run.fail(
                Problem(
                    "internal",
                    "The call failed inside the system; ask again with its key.",
                    status=500,
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            )
        finally:
            self.active_call_count -= 1
            program.runs.pop(run.key, None)

    def run_in_turn(
        self,
        program: Program,
        run: CallRun,
        request: CallRequest,
        service: ServiceSection,
    ) -> CallFinished:
        """Record the intent, carry the call out, record the outcome."""
        self.check_moving(program)
        self.home.check_open(program)
        if run.is_cancelled:
            raise Problem("cancelled", "The call was cancelled.", status=409)
        if self.clock.wall() >= run.deadline:
            self.metrics.count_refusal("deadline")
            raise Problem(
                "deadline", "Its deadline passed before its turn came.", status=504
            )
        intent = self.make_intent(program, run, request, service)
        self.record_intent(program, intent)
        call = DispatchedCall(program, intent, program.calls[run.key], run)
        outcome = self.dispatcher.dispatch(call)
        self.home.append_surely(program, [outcome])
        return outcome

    def record_intent(self, program: Program, intent: CallIntended) -> None:
        """Record an intent, on holders before anything that has an effect.

        A plain call that may be repeated has none that matters: its intent goes
        with its outcome, and a new home simply does not know the call.
        """
        if intent.service_kind is ServiceKind.PLAIN and intent.repeatable:
            self.home.note(program, intent)
            return
        try:
            self.home.append(program, [intent])
        except Problem:
            eventlet.spawn_n(self.withdraw, program, intent)
            raise

    def make_intent(
        self,
        program: Program,
        run: CallRun,
        request: CallRequest,
        service: ServiceSection,
    ) -> CallIntended:
        """Return the record of a call that fits its budget and has a target."""
        assert program.opened is not None
        input_tokens = request.input_tokens
        is_model = service.kind is ServiceKind.MODEL
        max_tokens = request.max_tokens if is_model else 0
        left = program.remaining_tokens - input_tokens
        if program.left_calls < 1 or left < (1 if is_model else 0):
            self.metrics.count_refusal("budget_spent")
            raise Problem(
                "budget_spent",
                f"The program has {program.left_calls} calls and "
                f"{program.remaining_tokens} tokens left; this call needs "
                f"{input_tokens} tokens for its input.",
                status=403,
            )
        max_tokens = min(max_tokens, left)
        messages = [*program.read_history(), *request.messages] if is_model else []
        target = self.dispatcher.chooser.choose(
            program, request.service, messages, max_tokens, set()
        )
        if target is None:
            self.metrics.count_refusal("no_target")
            raise Problem(
                "no_target",
                f"No target of {request.service} can be used right now.",
                status=503,
                retry_after=BUSY_SECONDS,
            )
        deadline = min(run.deadline, program.opened.deadline)
        return CallIntended(
            key=run.key,
            digest=run.digest,
            service=request.service,
            service_kind=service.kind,
            repeatable=service.repeatable and request.repeatable is not False,
            target=target.name,
            messages=request.messages,
            body=request.body_text,
            max_tokens=max_tokens,
            input_tokens=input_tokens,
            deadline=deadline,
        )

    def withdraw(self, program: Program, intent: CallIntended) -> None:
        """Record that an intent that was slow to be kept was never sent."""
        refused = CallFinished(
            key=intent.key,
            verdict=Verdict.NOT_RUN,
            status=503,
            code="copies_unavailable",
        )
        try:
            with program.turn_lock:
                self.home.append_surely(program, [refused])
        except PartitionMovedError:
            return

    def cancel(self, program: Program, key: str) -> None:
        """Stop a call; what it generated until then stays its answer."""
        run = program.runs.get(key)
        if run is None:
            return
        run.is_cancelled = True
        entry = program.calls.get(key)
        if entry is None or entry.kind is not ServiceKind.MODEL:
            return
        request_id = f"{program.id}:{key}:{entry.attempt}"
        try:
            self.dispatcher.cancel(entry.target, request_id)
        except TargetError as error:
            log.info("Cancel of %s not confirmed: %s.", request_id, error)
