"""The state of one program, rebuilt by replaying its records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eventlet.semaphore import Semaphore

from cedarchute.operators.site_file import ServiceKind
from cedarchute.programs.call_state import CallState
from cedarchute.programs.records import (
    BudgetReserved,
    BudgetReturned,
    CacheReleased,
    CallFinished,
    CallIntended,
    CallRetargeted,
    ChatMessage,
    ProgramEnded,
    ProgramOpened,
    TakenOver,
    parse_record,
)
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.copies.program_log import ProgramLog
    from cedarchute.programs.call_run import CallRun
    from cedarchute.programs.records import ProgramRecord


class Program:
    """A chain of dependent calls with a shared history and budget.

    Attributes
    ----------
    order : Semaphore
        Serializes the calls; waiters acquire it in order of arrival.
    cached : dict of str to int
        Estimated number of cached tokens by target that may hold cache of the program.
    attained_tokens : int
        Tokens that engines have computed for the program, cache hits excluded.
    prefixes : tuple of bytes
        Digests of the prefixes of its prompt; empty before the first model call.
    """

    def __init__(
        self, program_id: str, partition: OwnedPartition, log: ProgramLog
    ) -> None:
        self.id = program_id
        self.partition = partition
        self.log = log
        self.turn_lock = Semaphore(1)
        self.runs: dict[str, CallRun] = {}
        self.opened: ProgramOpened | None = None
        self.ended: ProgramEnded | None = None
        self.is_ending = False
        self.is_ready = True
        self.calls: dict[str, CallState] = {}
        self.child_reservations: dict[str, BudgetReserved] = {}
        self.cached_tokens_by_target: dict[str, int] = {}
        self.prefixes: tuple[bytes, ...] = ()
        self.last_target: str | None = None
        self.spent_tokens = 0
        self.spent_calls = 0
        self.attained_tokens = 0
        self.last_active_at = 0.0
        self.takeover_count = 0

    @classmethod
    def replay(
        cls, program_id: str, partition: OwnedPartition, log: ProgramLog
    ) -> Program:
        """Return the program whose records are in `log`."""
        program = cls(program_id, partition, log)
        for index, log_record in enumerate(log.records):
            program.apply(parse_record(log_record.text), index)
        return program

    def apply(self, record: ProgramRecord, index: int) -> None:
        """Update the state by the record at `index` of the log."""
        match record:
            case ProgramOpened():
                self.opened = record
            case CallIntended():
                self._on_intended(record, index)
            case CallRetargeted():
                call_state = self.calls[record.key]
                call_state.target = record.target
                call_state.attempt = record.attempt
                self._on_target(call_state)
            case CallFinished():
                self._on_finished(record, index)
            case BudgetReserved():
                self.child_reservations[record.child] = record
            case BudgetReturned():
                if self.child_reservations.pop(record.child, None) is not None:
                    self.spent_tokens += record.spent_tokens
                    self.spent_calls += record.spent_calls
            case ProgramEnded():
                self.ended = record
            case CacheReleased():
                self.cached_tokens_by_target.pop(record.target, None)
            case TakenOver():
                self.takeover_count += 1

    def _on_intended(self, record: CallIntended, index: int) -> None:
        call_state = CallState(
            key=record.key,
            digest=record.digest,
            service=record.service,
            kind=record.service_kind,
            repeatable=record.repeatable,
            target=record.target,
            reserved_tokens=record.reserved_tokens,
            deadline=record.deadline,
            intent_index=index,
        )
        self.calls.pop(record.key, None)
        self.calls[record.key] = call_state
        self._on_target(call_state)

    def _on_target(self, call_state: CallState) -> None:
        if call_state.kind is ServiceKind.MODEL:
            self.cached_tokens_by_target.setdefault(call_state.target, 0)
            self.last_target = call_state.target

    def _on_finished(self, record: CallFinished, index: int) -> None:
        call_state = self.calls[record.key]
        if record.verdict is Verdict.NOT_RUN:
            del self.calls[record.key]
            return
        call_state.finish_index = index
        call_state.verdict = record.verdict
        call_state.tokens = record.tokens
        self.spent_tokens += record.tokens
        self.spent_calls += 1
        if call_state.kind is ServiceKind.MODEL and record.verdict is Verdict.RAN:
            length = record.prompt_tokens + record.completion_tokens
            self.cached_tokens_by_target[call_state.target] = length
            computed = length - record.cached_tokens
            self.attained_tokens += max(0, computed)

    @property
    def workspace(self) -> str:
        """The workspace that the program belongs to."""
        assert self.opened is not None
        return self.opened.workspace

    @property
    def open_calls(self) -> list[CallState]:
        """The calls that have no outcome yet."""
        return [call for call in self.calls.values() if call.is_open]

    @property
    def remaining_tokens(self) -> int:
        """Tokens not yet spent or reserved by open calls and sub-agents."""
        assert self.opened is not None
        reserved = sum(call.reserved_tokens for call in self.open_calls)
        allocated = sum(child.tokens for child in self.child_reservations.values())
        return self.opened.budget.tokens - self.spent_tokens - reserved - allocated

    @property
    def remaining_calls(self) -> int:
        """Calls not yet spent, open or reserved by sub-agents."""
        assert self.opened is not None
        allocated = sum(child.calls for child in self.child_reservations.values())
        open_calls = len(self.open_calls)
        return self.opened.budget.calls - self.spent_calls - open_calls - allocated

    @property
    def used_tokens(self) -> int:
        """Tokens spent or reserved by open calls and sub-agents."""
        assert self.opened is not None
        return self.opened.budget.tokens - self.remaining_tokens

    @property
    def used_calls(self) -> int:
        """Calls spent, open or reserved by sub-agents."""
        assert self.opened is not None
        return self.opened.budget.calls - self.remaining_calls

    def read_history(self) -> list[ChatMessage]:
        """Return the messages and answers of all model calls that ran, in order."""
        messages: list[ChatMessage] = []
        for call_state in self.calls.values():
            if (
                call_state.kind is not ServiceKind.MODEL
                or call_state.verdict is not Verdict.RAN
            ):
                continue
            messages.extend(self.read_intent(call_state).messages)
            answer = self.read_outcome(call_state).text
            messages.append(ChatMessage(role="assistant", content=answer))
        return messages

    def read_intent(self, call_state: CallState) -> CallIntended:
        """Return the intent record of a call."""
        record = parse_record(self.log.records[call_state.intent_index].text)
        assert isinstance(record, CallIntended)
        return record

    def read_outcome(self, call_state: CallState) -> CallFinished:
        """Return the outcome record of a call."""
        record = parse_record(self.log.records[call_state.finish_index].text)
        assert isinstance(record, CallFinished)
        return record

    def apply_all(self, records: Sequence[ProgramRecord], start: int) -> None:
        """Update the state by consecutive records, the first at `start` of the log."""
        for offset, record in enumerate(records):
            self.apply(record, start + offset)
