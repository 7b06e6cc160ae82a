"""Runs the calls of each program one at a time, in order of arrival."""

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

NO_TARGET_RETRY_AFTER_SECONDS: Final = 1.0


class CallRunner:
    """Accepts calls, runs each once and answers repeated keys from the records."""

    def __init__(
        self,
        registry: ProgramRegistry,
        dispatcher: Dispatcher,
        limits: WorkspaceLimits,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.dispatcher = dispatcher
        self.limits = limits
        self.configuration = configuration
        self.clock = clock
        self.metrics = metrics
        self.active_call_count = 0

    def start(self, program: Program, key: str, request: CallRequest) -> CallRun:
        """Return the run of a call; start it unless its key is known.

        Raises
        ------
        Problem
            ``key_reused`` when the key belongs to another request,
            ``out_of_order`` when the call names a turn other than the next,
            and the refusals of the program, the service and the rate limits.
        """
        known_run = self.find(program, key)
        if known_run is not None:
            if known_run.digest != request.digest:
                self.metrics.count_refusal("key_reused")
                raise Problem(
                    "key_reused",
                    f"Key {key} stands for another request; use a new key.",
                    status=422,
                )
            self.metrics.count("calls.answered_again")
            return known_run
        self.registry.check_open(program)
        self.check_turn(program, request)
        service = self.find_service(request)
        self.check_not_moving(program)
        self.limits.admit(program.workspace)
        seconds = request.deadline_seconds or service.timeout_seconds
        run = CallRun(key, request.digest, deadline=self.clock.wall() + seconds)
        program.runs[key] = run
        run.request_id = current_request_id()
        eventlet.spawn_n(self.run, program, run, request, service)
        return run

    def find(self, program: Program, key: str) -> CallRun | None:
        """Return the run of a known key, rebuilt from the records if it has ended.

        Raises
        ------
        Problem
            ``copies_unavailable`` while it is unknown whether the intent of the call
            was replicated.
        """
        run = program.runs.get(key)
        if run is not None:
            return run
        call_state = program.calls.get(key)
        if call_state is None:
            return None
        if call_state.is_open:
            raise make_copies_problem(Verdict.MAY_HAVE_RUN)
        run = CallRun(key, call_state.digest, call_state.attempt)
        outcome = program.read_outcome(call_state)
        run.add(outcome.text)
        run.finish(outcome)
        return run

    def check_turn(self, program: Program, request: CallRequest) -> None:
        """Refuse a call that names a turn other than the next one."""
        queued_calls = sum(1 for key in program.runs if key not in program.calls)
        next_turn = len(program.calls) + queued_calls + 1
        if request.turn is not None and request.turn != next_turn:
            self.metrics.count_refusal("out_of_order")
            raise Problem(
                "out_of_order",
                f"The next turn is {next_turn}, not {request.turn}.",
                status=409,
            )

    def check_not_moving(self, program: Program) -> None:
        """Refuse to start a call while the partition is being handed over."""
        if program.partition.is_handing_over:
            raise PartitionMovedError(program.partition.name)

    def find_service(self, request: CallRequest) -> ServiceSection:
        """Return the service of a call; check that it takes the call's content."""
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
            expected = "messages" if is_model else "body"
            raise Problem(
                "wrong_content", f"Service {request.service} takes {expected}."
            )
        return service

    def run(
        self,
        program: Program,
        run: CallRun,
        request: CallRequest,
        service: ServiceSection,
    ) -> None:
        """Run one call when its turn comes and end its run with the result."""
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
        """Record the intent, dispatch the call and record the outcome."""
        self.check_not_moving(program)
        self.registry.check_open(program)
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
        self.registry.append_until_replicated(program, [outcome])
        return outcome

    def record_intent(self, program: Program, intent: CallIntended) -> None:
        """Record an intent, replicated before the call can have an effect.

        The intent of a repeatable plain call is replicated together with its outcome:
        a box that takes over before that does not know the call, and its caller may
        send it again.
        """
        if intent.service_kind is ServiceKind.PLAIN and intent.repeatable:
            self.registry.append_without_waiting(program, intent)
            return
        try:
            self.registry.append(program, [intent])
        except Problem:
            eventlet.spawn_n(self.record_not_sent, program, intent)
            raise

    def make_intent(
        self,
        program: Program,
        run: CallRun,
        request: CallRequest,
        service: ServiceSection,
    ) -> CallIntended:
        """Return the intent of a call; refuse it if over budget or without a target."""
        assert program.opened is not None
        input_tokens = request.input_tokens
        is_model = service.kind is ServiceKind.MODEL
        max_tokens = request.max_tokens if is_model else 0
        available_tokens = program.remaining_tokens - input_tokens
        if program.remaining_calls < 1 or available_tokens < (1 if is_model else 0):
            self.metrics.count_refusal("budget_spent")
            raise Problem(
                "budget_spent",
                f"The program has {program.remaining_calls} calls and "
                f"{program.remaining_tokens} tokens left; this call needs "
                f"{input_tokens} tokens for its input.",
                status=403,
            )
        max_tokens = min(max_tokens, available_tokens)
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
                retry_after=NO_TARGET_RETRY_AFTER_SECONDS,
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

    def record_not_sent(self, program: Program, intent: CallIntended) -> None:
        """Record that a call was not sent because its intent was not replicated."""
        outcome = CallFinished(
            key=intent.key,
            verdict=Verdict.NOT_RUN,
            status=503,
            code="copies_unavailable",
        )
        try:
            with program.turn_lock:
                self.registry.append_until_replicated(program, [outcome])
        except PartitionMovedError:
            return

    def cancel(self, program: Program, key: str) -> None:
        """Cancel a call; the text generated so far remains its answer."""
        run = program.runs.get(key)
        if run is None:
            return
        run.is_cancelled = True
        call_state = program.calls.get(key)
        if call_state is None or call_state.kind is not ServiceKind.MODEL:
            return
        request_id = f"{program.id}:{key}:{call_state.attempt}"
        try:
            self.dispatcher.cancel(call_state.target, request_id)
        except TargetError as error:
            log.info("Cancel of %s not confirmed: %s.", request_id, error)
