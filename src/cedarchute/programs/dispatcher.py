"""Sends a call to a target, tries again where that is allowed, and no more."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.operators.site_file import ServiceKind
from cedarchute.problem import Problem
from cedarchute.programs.records import CallFinished, CallRetargeted
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cedarchute.clock import Clock
    from cedarchute.copies.replicator import Replicator
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

STATUS_OF_REASON: Final = {
    "target_timeout": 504,
    "deadline": 504,
    "copies_unavailable": 503,
    "target_busy": 503,
    "target_unreachable": 503,
}


class Dispatcher:
    """Chooses targets and carries calls out, one attempt after the other."""

    def __init__(
        self,
        book: TargetDirectory,
        chooser: TargetChooser,
        models: ModelCaller,
        mover: CacheMigrator,
        services: ServiceClient,
        replicator: Replicator,
        append: Callable[[Program, Sequence[ProgramRecord]], None],
        allowance: RetryBudget,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.book = book
        self.chooser = chooser
        self.model_caller = models
        self.mover = mover
        self.services = services
        self.replicator = replicator
        self.append = append
        self.allowance = allowance
        self.clock = clock
        self.metrics = metrics

    def dispatch(
        self,
        call: DispatchedCall,
        *,
        is_resumed: bool = False,
        may_have_run: bool = False,
    ) -> CallFinished:
        """Carry a call out and return its outcome.

        Parameters
        ----------
        is_resumed : bool
            Read an answer on that another box has asked for.
        may_have_run : bool
            An earlier attempt may have run; no later one makes that ``not run``.

        Raises
        ------
        PartitionMovedError
            When another box orders the program's calls now.
        """
        self.allowance.record_first_attempt()
        excluded: set[str] = set()
        while True:
            try:
                return self.attempt(call, is_resumed=is_resumed)
            except TargetError as error:
                log.info("Call %s failed: %s.", call.request_id, error)
                if error.verdict is not Verdict.NOT_RUN:
                    may_have_run = True
                failure = self.describe_failure(call, error, may_have_run)
                excluded.add(call.entry.target)
                target = self.choose_retry(call, error, excluded)
                if target is None:
                    return failure
                self.metrics.count_retry(error.reason)
            is_resumed = False
            attempt = call.entry.attempt + 1
            retargeted = CallRetargeted(
                key=call.intent.key, target=target.name, attempt=attempt
            )
            try:
                self.append(call.program, [retargeted])
            except Problem:
                return failure
            call.run.restart(attempt)

    def choose_retry(
        self, call: DispatchedCall, error: TargetError, excluded: set[str]
    ) -> TargetState | None:
        """Return where to try again, or None when that is not allowed."""
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
        if target is None:
            return None
        if not self.allowance.take():
            self.metrics.count_refusal("retry_allowance")
            return None
        return target

    def cancel(self, target: str, request_id: str) -> None:
        """Stop an answer that an engine generates.

        Raises
        ------
        TargetError
            When the engine did not confirm it.
        """
        state = self.book.find(target)
        if state is not None:
            self.model_caller.engines.cancel(state.section.address, request_id)

    def attempt(self, call: DispatchedCall, *, is_resumed: bool) -> CallFinished:
        """Carry out one attempt at the target that the records name."""
        target = self.book.find(call.entry.target)
        if target is None:
            raise TargetError("target_unknown", call.entry.target, Verdict.NOT_RUN)
        seconds = call.intent.deadline - self.clock.wall()
        if seconds <= 0 and not is_resumed:
            raise TargetError("deadline", "no time left", Verdict.NOT_RUN)
        if not is_resumed:
            if call.intent.service_kind is ServiceKind.MODEL:
                self.mover.migrate_if_worthwhile(call.program, target)
            self.confirm_owned(call)
        priority = self.chooser.priority_of(call.program)
        self.book.on_request_sent(target, call.intent.input_tokens, priority)
        try:
            if call.intent.service_kind is ServiceKind.MODEL:
                outcome = self.model_caller.attempt(
                    call, target, priority, is_resumed, max(seconds, 1)
                )
            else:
                outcome = self.attempt_plain(call, target, seconds)
        except TargetError as error:
            self.book.on_request_failed(target, error.reason, priority)
            raise
        except BaseException:
            self.book.on_request_succeeded(target, priority)
            raise
        self.book.on_request_succeeded(target, priority)
        return outcome

    def confirm_owned(self, call: DispatchedCall) -> None:
        """Make sure that nobody has taken the program over, then send at once."""
        try:
            self.replicator.confirm_owned(call.program.partition)
        except Problem as problem:
            raise TargetError(
                problem.code, problem.detail, Verdict.NOT_RUN
            ) from problem

    def attempt_plain(
        self, call: DispatchedCall, target: TargetState, seconds: float
    ) -> CallFinished:
        """Call a plain service or tool once."""
        text = self.services.call(
            target.section.address,
            f"{call.program.id}:{call.intent.key}",
            call.program.id,
            call.intent.body or "null",
            seconds,
        )
        return CallFinished(
            key=call.intent.key, verdict=Verdict.RAN, status=200, text=text
        )

    def describe_failure(
        self, call: DispatchedCall, error: TargetError, may_have_run: bool
    ) -> CallFinished:
        """Return the outcome of a call that is given up after `error`."""
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else error.verdict
        tokens = 0 if verdict is Verdict.NOT_RUN else call.intent.reserved_tokens
        return CallFinished(
            key=call.intent.key,
            verdict=verdict,
            status=STATUS_OF_REASON.get(error.reason, 502),
            text=call.run.text,
            finish_reason="error",
            tokens=tokens,
            code=error.reason,
            detail=f"{call.entry.target}: {error.detail}",
        )
