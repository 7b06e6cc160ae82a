"""Dispatch of a call to targets, with retries."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.crashes.program_call_crashes import BLOCKED
from cedarchute.operators.site_file import ServiceKind
from cedarchute.problem import Problem
from cedarchute.programs.records import CallFinished, CallRetargeted
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cedarchute.clock import Clock
    from cedarchute.copies.replicator import Replicator
    from cedarchute.crashes.program_call_crashes import ProgramCallCrashes
    from cedarchute.limits.retry_budget import RetryBudget
    from cedarchute.metrics import Metrics
    from cedarchute.programs.cache_migrator import CacheMigrator
    from cedarchute.programs.dispatched_call import DispatchedCall
    from cedarchute.programs.model_caller import ModelCaller
    from cedarchute.programs.program import Program
    from cedarchute.programs.records import ProgramRecord
    from cedarchute.programs.target_chooser import TargetChooser
    from cedarchute.scheduling.target_directory import TargetDirectory
    from cedarchute.scheduling.target_state import TargetState
    from cedarchute.targets.service_client import ServiceClient

log = logging.getLogger("cedarchute.dispatch")

STATUS_BY_REASON: Final = {
    "target_timeout": 504,
    "deadline": 504,
    "copies_unavailable": 503,
    "target_busy": 503,
    "target_unreachable": 503,
    BLOCKED: 503,
}


class Dispatcher:
    """Sends a call to a target and retries it elsewhere where that is safe."""

    def __init__(
        self,
        directory: TargetDirectory,
        chooser: TargetChooser,
        models: ModelCaller,
        cache_migrator: CacheMigrator,
        service_client: ServiceClient,
        replicator: Replicator,
        append_records: Callable[[Program, Sequence[ProgramRecord]], None],
        retry_budget: RetryBudget,
        crashes: ProgramCallCrashes,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.directory = directory
        self.chooser = chooser
        self.model_caller = models
        self.cache_migrator = cache_migrator
        self.service_client = service_client
        self.replicator = replicator
        self.append_records = append_records
        self.retry_budget = retry_budget
        self.crashes = crashes
        self.clock = clock
        self.metrics = metrics

    def dispatch(
        self,
        call: DispatchedCall,
        *,
        is_resumed: bool = False,
        may_have_run: bool = False,
    ) -> CallFinished:
        """Send a call until it has an outcome, and return that.

        Parameters
        ----------
        is_resumed : bool
            Resume a stream that the previous owner of the program started.
        may_have_run : bool
            Whether an earlier attempt may have run; the verdict is then never
            ``not run``.

        Raises
        ------
        PartitionMovedError
            When another box owns the program now.
        """
        self.retry_budget.record_first_attempt()
        excluded: set[str] = set()
        while True:
            try:
                return self.attempt(call, is_resumed=is_resumed)
            except TargetError as error:
                log.info("Call %s failed: %s.", call.request_id, error)
                if error.verdict is not Verdict.NOT_RUN:
                    may_have_run = True
                failure = self.describe_failure(call, error, may_have_run)
                excluded.add(call.state.target)
                target = self.choose_retry(call, error, excluded)
                if target is None:
                    return failure
                self.metrics.count_retry(error.reason)
            is_resumed = False
            attempt = call.state.attempt + 1
            retargeted = CallRetargeted(
                key=call.intent.key, target=target.name, attempt=attempt
            )
            try:
                self.append_records(call.program, [retargeted])
            except Problem:
                return failure
            call.run.restart(attempt)

    def choose_retry(
        self, call: DispatchedCall, error: TargetError, excluded: set[str]
    ) -> TargetState | None:
        """Return the target of the next attempt, or None if a retry is not allowed."""
        if error.verdict is not Verdict.NOT_RUN and not call.intent.repeatable:
            return None
        if call.run.is_cancelled or self.clock.wall() >= call.intent.deadline:
            return None
        messages = call.read_messages()
        target = self.chooser.choose(
            call.program,
            call.intent.service,
            messages,
            call.intent.max_tokens,
            excluded,
        )
        if target is None or self.crashes.find(call).is_blocking:
            return None
        if not self.retry_budget.take():
            self.metrics.count_refusal("retry_allowance")
            return None
        return target

    def cancel(self, target: str, request_id: str) -> None:
        """Cancel a request at the engine that processes it.

        Raises
        ------
        TargetError
            When the engine did not confirm the cancellation.
        """
        target_state = self.directory.find(target)
        if target_state is not None:
            self.model_caller.engines.cancel(target_state.section.address, request_id)

    def attempt(self, call: DispatchedCall, *, is_resumed: bool) -> CallFinished:
        """Send the call once to its recorded target."""
        target = self.directory.find(call.state.target)
        if target is None:
            raise TargetError("target_unknown", call.state.target, Verdict.NOT_RUN)
        seconds = call.intent.deadline - self.clock.wall()
        if seconds <= 0 and not is_resumed:
            raise TargetError("deadline", "no time left", Verdict.NOT_RUN)
        if not is_resumed:
            self.crashes.check(call)
            if call.intent.service_kind is ServiceKind.MODEL:
                self.cache_migrator.migrate_if_worthwhile(call.program, target)
            self.confirm_owned(call)
        known_crashes = self.crashes.find(call)
        priority = self.chooser.priority_of(call.program)
        self.directory.on_request_sent(target, call.intent.input_tokens, priority)
        try:
            if call.intent.service_kind is ServiceKind.MODEL:
                outcome = self.model_caller.attempt(
                    call, target, priority, is_resumed, max(seconds, 1)
                )
            else:
                outcome = self.attempt_plain(call, target, seconds)
        except TargetError as error:
            self.directory.on_request_failed(target, error.reason, priority)
            address = target.section.address
            self.crashes.record_failure(call, address, known_crashes, error)
            raise
        except BaseException:
            self.directory.on_request_succeeded(target, priority)
            raise
        self.directory.on_request_succeeded(target, priority)
        self.crashes.record_answer(call)
        return outcome

    def confirm_owned(self, call: DispatchedCall) -> None:
        """Raise `TargetError` unless this box is confirmed to own the program."""
        try:
            self.replicator.confirm_owned(call.program.partition)
        except Problem as problem:
            raise TargetError(
                problem.code, problem.detail, Verdict.NOT_RUN
            ) from problem

    def attempt_plain(
        self, call: DispatchedCall, target: TargetState, seconds: float
    ) -> CallFinished:
        """Send the call once to a plain service."""
        response_text = self.service_client.call(
            target.section.address,
            f"{call.program.id}:{call.intent.key}",
            call.program.id,
            call.intent.body or "null",
            seconds,
        )
        return CallFinished(
            key=call.intent.key, verdict=Verdict.RAN, status=200, text=response_text
        )

    def describe_failure(
        self, call: DispatchedCall, error: TargetError, may_have_run: bool
    ) -> CallFinished:
        """Return the outcome of a call that is not retried after `error`."""
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else error.verdict
        tokens = 0 if verdict is Verdict.NOT_RUN else call.intent.reserved_tokens
        return CallFinished(
            key=call.intent.key,
            verdict=verdict,
            status=STATUS_BY_REASON.get(error.reason, 502),
            text=call.run.text,
            finish_reason="error",
            tokens=tokens,
            code=error.reason,
            detail=f"{call.state.target}: {error.detail}",
        )
