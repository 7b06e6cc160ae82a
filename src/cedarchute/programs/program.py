"""The state of one program, made by reading its records in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eventlet.semaphore import Semaphore

from cedarchute.operators.site_file import ServiceKind
from cedarchute.programs.call_state import CallState
from cedarchute.programs.records import (
    CacheReleased,
    CallFinished,
    CallIntended,
    CallRetargeted,
    ChatMessage,
    PartReserved,
    PartReturned,
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
    """A chain of calls with a history and a budget.

    Attributes
    ----------
    order : Semaphore
        Held by the call whose turn it is; waiters get it in order of arrival.
    cached : dict of str to int
        Targets that may hold cache of the program, with its believed length.
    attained_tokens : int
        Tokens that engines computed for the program so far.
    prefixes : tuple of bytes
        Digests of the beginnings of its prompt, once a model was called.
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
        self.child_reservations: dict[str, PartReserved] = {}
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
        """Return the program that a log describes."""
        program = cls(program_id, partition, log)
        for index, held in enumerate(log.records):
            program.apply(parse_record(held.text), index)
        return program

    def apply(self, record: ProgramRecord, index: int) -> None:
        """Take in the record at `index` of the log."""
        match record:
            case ProgramOpened():
                self.opened = record
            case CallIntended():
                self._on_intended(record, index)
            case CallRetargeted():
                entry = self.calls[record.key]
                entry.target = record.target
                entry.attempt = record.attempt
                self._on_target(entry)
            case CallFinished():
                self._on_finished(record, index)
            case PartReserved():
                self.child_reservations[record.child] = record
            case PartReturned():
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
        entry = CallState(
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
        self.calls[record.key] = entry
        self._on_target(entry)

    def _on_target(self, entry: CallState) -> None:
        if entry.kind is ServiceKind.MODEL:
            self.cached_tokens_by_target.setdefault(entry.target, 0)
            self.last_target = entry.target

    def _on_finished(self, record: CallFinished, index: int) -> None:
        entry = self.calls[record.key]
        if record.verdict is Verdict.NOT_RUN:
            del self.calls[record.key]
            return
        entry.finish_index = index
        entry.verdict = record.verdict
        entry.tokens = record.tokens
        self.spent_tokens += record.tokens
        self.spent_calls += 1
        if entry.kind is ServiceKind.MODEL and record.verdict is Verdict.RAN:
            length = record.prompt_tokens + record.completion_tokens
            self.cached_tokens_by_target[entry.target] = length
            computed = length - record.cached_tokens
            self.attained_tokens += max(0, computed)

    @property
    def workspace(self) -> str:
        """The workspace that the program belongs to."""
        assert self.opened is not None
        return self.opened.workspace

    @property
    def open_calls(self) -> list[CallState]:
        """The calls whose outcome is not known yet."""
        return [entry for entry in self.calls.values() if entry.is_open]

    @property
    def remaining_tokens(self) -> int:
        """Tokens that may still be promised to calls or sub-agents."""
        assert self.opened is not None
        reserved = sum(entry.reserved_tokens for entry in self.open_calls)
        parts = sum(part.tokens for part in self.child_reservations.values())
        return self.opened.budget.tokens - self.spent_tokens - reserved - parts

    @property
    def left_calls(self) -> int:
        """Calls that may still be promised to calls or sub-agents."""
        assert self.opened is not None
        parts = sum(part.calls for part in self.child_reservations.values())
        open_calls = len(self.open_calls)
        return self.opened.budget.calls - self.spent_calls - open_calls - parts

    @property
    def used_tokens(self) -> int:
        """Tokens spent, open calls and sub-agents' parts counted as spent."""
        assert self.opened is not None
        return self.opened.budget.tokens - self.remaining_tokens

    @property
    def used_calls(self) -> int:
        """Calls spent, open ones and sub-agents' parts counted as spent."""
        assert self.opened is not None
        return self.opened.budget.calls - self.left_calls

    def read_history(self) -> list[ChatMessage]:
        """Return the messages of every model call that ran, in order."""
        messages: list[ChatMessage] = []
        for entry in self.calls.values():
            if entry.kind is not ServiceKind.MODEL or entry.verdict is not Verdict.RAN:
                continue
            messages.extend(self.read_intent(entry).messages)
            answer = self.read_outcome(entry).text
            messages.append(ChatMessage(role="assistant", content=answer))
        return messages

    def read_intent(self, entry: CallState) -> CallIntended:
        """Return the record of the intent of a call."""
        record = parse_record(self.log.records[entry.intent_index].text)
        assert isinstance(record, CallIntended)
        return record

    def read_outcome(self, entry: CallState) -> CallFinished:
        """Return the record of the outcome of a call."""
        record = parse_record(self.log.records[entry.finish_index].text)
        assert isinstance(record, CallFinished)
        return record

    def apply_all(self, records: Sequence[ProgramRecord], start: int) -> None:
        """Take in records that stand in the log from `start` on."""
        for offset, record in enumerate(records):
            self.apply(record, start + offset)
