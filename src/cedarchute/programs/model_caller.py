"""Calls to model engines, with resumption of interrupted streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.programs.records import CallFinished
from cedarchute.targets.generate_request import GenerateRequest
from cedarchute.targets.stream_chunk import StreamChunk, StreamEnd
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.clock import Clock
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.programs.dispatched_call import DispatchedCall
    from cedarchute.scheduling.prefix_index import PrefixIndex
    from cedarchute.scheduling.prefix_pinner import PrefixPinner
    from cedarchute.scheduling.target_state import TargetState
    from cedarchute.targets.engine_client import EngineClient

MAX_RESUMES: Final = 2


class ModelCaller:
    """Runs one attempt of a model call on one engine."""

    def __init__(
        self,
        engines: EngineClient,
        prefix_index: PrefixIndex,
        prefix_pinner: PrefixPinner,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.engines = engines
        self.prefix_index = prefix_index
        self.prefix_pinner = prefix_pinner
        self.configuration = configuration
        self.clock = clock
        self.metrics = metrics

    def attempt(
        self,
        call: DispatchedCall,
        target: TargetState,
        priority: int,
        is_resumed: bool,
        seconds: float,
    ) -> CallFinished:
        """Generate an answer; resume its stream up to `MAX_RESUMES` times.

        Raises
        ------
        TargetError
            When the engine refuses the call or the stream cannot be resumed.
        """
        address = target.section.address
        resumes = 0
        broken: TargetError | None = None
        while True:
            try:
                if is_resumed:
                    stream = self.engines.resume(
                        address, call.request_id, call.run.length, seconds
                    )
                else:
                    stream = self.engines.generate(
                        address, self.make_request(call, priority), seconds
                    )
                outcome = self.consume_stream(call, target, stream)
                self.pin_shared_prefix(call, target)
                return outcome
            except TargetError as error:
                if broken is not None and error.verdict is Verdict.NOT_RUN:
                    # Only the attempt to go on did not run; the call had begun.
                    raise broken from error
                is_resumable = error.reason in ("target_broke_off", "target_timeout")
                if not is_resumable or resumes >= MAX_RESUMES:
                    raise
                if self.clock.wall() >= call.intent.deadline:
                    raise
                resumes += 1
                is_resumed = True
                broken = error
                self.metrics.count_retry("stream_resumed")

    def consume_stream(
        self,
        call: DispatchedCall,
        target: TargetState,
        stream: Iterable[StreamChunk | StreamEnd],
    ) -> CallFinished:
        """Add the pieces of a stream to the run; return the outcome at its end."""
        for item in stream:
            if isinstance(item, StreamChunk):
                call.program.partition.check_owned()
                call.run.add(item.text)
                if self.clock.wall() > call.intent.deadline:
                    self.engines.cancel(target.section.address, call.request_id)
                    raise TargetError("deadline", "time spent", Verdict.MAY_HAVE_RUN)
                continue
            target.record_completion(
                item.prompt_tokens, item.cached_tokens, item.completion_tokens
            )
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

    def pin_shared_prefix(self, call: DispatchedCall, target: TargetState) -> None:
        """Pin the prompt prefix that other programs share, on the target."""
        site = self.configuration.site
        if site is None or not site.is_program_aware:
            return
        service = site.services.get(call.intent.service)
        if service is None:
            return
        self.prefix_pinner.on_call_finished(
            target,
            service.model or "",
            call.program.prefixes,
            call.read_messages,
        )

    def make_request(self, call: DispatchedCall, priority: int) -> GenerateRequest:
        """Return the request to the engine; add its prompt to the prefix index."""
        site = self.configuration.site
        assert site is not None
        program = call.program
        self.prefix_index.record_prompt(program.prefixes, program.id, call.state.target)
        return GenerateRequest(
            request_id=call.request_id,
            program=program.id,
            model=site.services[call.intent.service].model or "",
            messages=call.read_messages(),
            max_tokens=call.intent.max_tokens,
            priority=priority,
        )
