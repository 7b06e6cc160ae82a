"""Sends a call to a target, tries again where that is allowed, and no more."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.operators.site_file import Policy, ServiceKind
from cedarchute.problem import Problem
from cedarchute.programs.records import CallFinished, CallRetargeted
from cedarchute.scheduling.order import ProgramStanding, priority_of
from cedarchute.scheduling.placement import PlacementRequest, digest_prefix
from cedarchute.targets.generate_request import GenerateRequest
from cedarchute.targets.stream_piece import StreamEnd, StreamPiece
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from cedarchute.clock import Clock
    from cedarchute.copies.replicator import Replicator
    from cedarchute.limits.retry_allowance import RetryAllowance
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.programs.dispatch import Dispatch
    from cedarchute.programs.program import Program
    from cedarchute.programs.records import ChatMessage, ProgramRecord
    from cedarchute.scheduling.placement import PlacementPolicy
    from cedarchute.scheduling.target_book import TargetBook
    from cedarchute.scheduling.target_state import TargetState
    from cedarchute.targets.engine_client import EngineClient
    from cedarchute.targets.service_client import ServiceClient

log = logging.getLogger("cedarchute.dispatch")

RESUME_ATTEMPTS: Final = 2
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
        book: TargetBook,
        policy: Callable[[], PlacementPolicy],
        engines: EngineClient,
        services: ServiceClient,
        replicator: Replicator,
        append: Callable[[Program, Sequence[ProgramRecord]], None],
        allowance: RetryAllowance,
        configuration: Configuration,
        failure_domain: str,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self.book = book
        self.policy = policy
        self.engines = engines
        self.services = services
        self.replicator = replicator
        self.append = append
        self.allowance = allowance
        self.configuration = configuration
        self.failure_domain = failure_domain
        self.clock = clock
        self.random_source = random_source
        self.metrics = metrics

    def choose_target(
        self,
        program: Program,
        service: str,
        messages: Sequence[ChatMessage],
        max_tokens: int,
        excluded: set[str],
    ) -> TargetState | None:
        """Return the target that a call should go to, or None."""
        usable = self.book.usable(service, excluded)
        if not usable:
            return None
        first = messages[0].content if messages else ""
        request = PlacementRequest(
            program=program.id,
            prompt_tokens=sum(len(m.content) for m in messages) // 4,
            max_tokens=max_tokens,
            cached_tokens=program.cached,
            prefix=digest_prefix(first),
            prefix_tokens=len(first) // 4,
            last_target=program.last_target,
            failure_domain=self.failure_domain,
        )
        return self.policy().choose(request, usable, self.random_source)

    def dispatch(
        self, call: Dispatch, *, is_resumed: bool = False, may_have_run: bool = False
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
        self.allowance.on_first_try()
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
        self, call: Dispatch, error: TargetError, excluded: set[str]
    ) -> TargetState | None:
        """Return where to try again, or None when that is not allowed."""
        if error.verdict is not Verdict.NOT_RUN and not call.intent.repeatable:
            return None
        if call.run.is_cancelled or self.clock.wall() >= call.intent.deadline:
            return None
        messages = self.read_messages(call)
        target = self.choose_target(
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

    def attempt(self, call: Dispatch, *, is_resumed: bool) -> CallFinished:
        """Carry out one attempt at the target that the records name."""
        target = self.book.targets.get(call.entry.target)
        if target is None:
            raise TargetError("target_unknown", call.entry.target, Verdict.NOT_RUN)
        seconds = call.intent.deadline - self.clock.wall()
        if seconds <= 0 and not is_resumed:
            raise TargetError("deadline", "no time left", Verdict.NOT_RUN)
        if not is_resumed:
            self.confirm_owned(call)
        tokens = call.intent.input_tokens
        self.book.on_sent(target, tokens)
        try:
            if call.intent.service_kind is ServiceKind.MODEL:
                outcome = self.attempt_model(call, target, is_resumed, max(seconds, 1))
            else:
                outcome = self.attempt_plain(call, target, seconds)
        except TargetError as error:
            self.book.on_failed(target, error.reason)
            raise
        except BaseException:
            self.book.on_done(target)
            raise
        self.book.on_done(target)
        return outcome

    def confirm_owned(self, call: Dispatch) -> None:
        """Make sure that nobody has taken the program over, then send at once."""
        try:
            self.replicator.confirm_owned(call.program.partition)
        except Problem as problem:
            raise TargetError(
                problem.code, problem.detail, Verdict.NOT_RUN
            ) from problem

    def attempt_plain(
        self, call: Dispatch, target: TargetState, seconds: float
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

    def attempt_model(
        self, call: Dispatch, target: TargetState, is_resumed: bool, seconds: float
    ) -> CallFinished:
        """Generate an answer, reading on after a break as long as that works."""
        address = target.section.address
        resumes = 0
        while True:
            try:
                if is_resumed:
                    stream = self.engines.resume(
                        address, call.request_id, call.run.length, seconds
                    )
                else:
                    stream = self.engines.generate(
                        address, self.make_request(call), seconds
                    )
                return self.follow(call, target, stream)
            except TargetError as error:
                is_broken = error.reason in ("target_broke_off", "target_timeout")
                if not is_broken or resumes >= RESUME_ATTEMPTS:
                    raise
                if self.clock.wall() >= call.intent.deadline:
                    raise
                resumes += 1
                is_resumed = True
                self.metrics.count_retry("stream_resumed")

    def follow(
        self,
        call: Dispatch,
        target: TargetState,
        stream: Sequence[StreamPiece | StreamEnd],
    ) -> CallFinished:
        """Pass the pieces of a stream on and return the outcome at its end."""
        for item in stream:
            if isinstance(item, StreamPiece):
                call.program.partition.check_owned()
                call.run.add(item.text)
                if self.clock.wall() > call.intent.deadline:
                    self.engines.cancel(target.section.address, call.request_id)
                    raise TargetError("deadline", "time spent", Verdict.MAY_HAVE_RUN)
                continue
            return CallFinished(
                key=call.intent.key,
                verdict=Verdict.RAN,
                status=200,
                text=call.run.text,
                finish_reason=item.finish_reason,
                tokens=call.intent.input_tokens + item.completion_tokens,
                prompt_tokens=item.prompt_tokens,
                completion_tokens=item.completion_tokens,
                cached_tokens=item.cached_tokens,
            )
        raise TargetError("target_broke_off", "no end", Verdict.MAY_HAVE_RUN)

    def make_request(self, call: Dispatch) -> GenerateRequest:
        """Return what the engine is asked for."""
        program = call.program
        site = self.configuration.site
        assert site is not None
        assert program.opened is not None
        messages = self.read_messages(call)
        workspace = site.workspaces.get(program.workspace)
        service = site.services[call.intent.service]
        priority = 0
        if site.site.policy is Policy.PROGRAM_AWARE:
            standing = ProgramStanding(
                opened_at=program.opened.root_opened_at,
                age_seconds=self.clock.wall() - program.opened.root_opened_at,
                attained_tokens=program.attained_tokens,
                weight=workspace.weight if workspace else 1.0,
            )
            priority = priority_of(site.site.order, standing)
        target = self.book.targets[call.entry.target]
        self.book.note_prefix(target, digest_prefix(messages[0].content))
        return GenerateRequest(
            request_id=call.request_id,
            program=program.id,
            model=service.model or "",
            messages=messages,
            max_tokens=call.intent.max_tokens,
            priority=priority,
        )

    def read_messages(self, call: Dispatch) -> list[ChatMessage]:
        """Return the history with the new messages of a call."""
        return [*call.program.read_history(), *call.intent.messages]

    def describe_failure(
        self, call: Dispatch, error: TargetError, may_have_run: bool
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
