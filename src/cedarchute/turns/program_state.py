"""State of one program at one holder: turns and token counts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from cedarchute.turns.records import LastUse, Reserved, Settled, Turn

if TYPE_CHECKING:
    from cedarchute.turns.records import Record

# Least retention of a program with records; covers its pauses between retries.
DEFAULT_RETENTION_SECONDS: Final = 60.0
# A turn, or the state of a program, without its text and names, with its tables.
OBJECT_BYTES: Final = 1024
# The tokens of a turn, without its name.
TOKEN_COUNT_BYTES: Final = 200
# A text that arrives is there twice: decoded, and encoded for the journal.
TRANSFER_COPIES: Final = 2
# Larger texts are few, and those of a burst arrive together; smaller ones do not.
SMALL_TEXT_BYTES: Final = 262_144
# Retention of a program without records, such as one refused at admission: it is
# retried within seconds or not at all.
EMPTY_RETENTION_SECONDS: Final = 10.0
# A turn is answered once a quorum has it, which the first holder may precede by the
# time limit of that write; the caller's retention begins with the answer.
ANSWER_DELAY_SECONDS: Final = 5.0


class ProgramState:
    """Applies records idempotently and in any order.

    A turn is open while it is only reserved. Once it is settled, completed or not, a
    reservation that arrives late does not open it again.

    Attributes
    ----------
    budget : int or None
        The smallest that any call has set, so that a later call cannot raise it.
    first_asked_at : float or None
        Monotonic time of the first request at this holder; None if the records came
        from the disk or from another holder.
    open_until : float
        Monotonic time by which every open turn has ended; the program is in use until
        then.
    continued_until : float
        The same for turns of other programs that continue this one.
    held_bytes : int
        What its name and its records cost in memory, with the texts that open turns
        are about to bring.
    expected_bytes : dict of str to int
        What of that is the text of each open turn.
    """

    def __init__(self, program: str = "") -> None:
        self.program = program
        self.held_bytes = OBJECT_BYTES + len(program)
        self.expected_bytes: dict[str, int] = {}
        self.open: dict[str, int] = {}
        self.settled: dict[str, int] = {}
        self.completed: dict[str, Turn] = {}
        self.budget: int | None = None
        self.first_asked_at: float | None = None
        self.retention_seconds = DEFAULT_RETENTION_SECONDS
        self.last_used_at = time.monotonic()
        self.open_until = 0.0
        self.continued_until = 0.0

    def apply(self, record: Record) -> bool:
        """Apply a record; return whether it changed anything but the budget."""
        self.last_used_at = time.monotonic()
        if isinstance(record, Reserved):
            self.lower_budget(record.budget)
            self.keep_for(record.keep_seconds)
            if record.turn in self.settled or record.turn in self.open:
                return False
            self.open[record.turn] = record.tokens
            self.held_bytes += TOKEN_COUNT_BYTES + len(record.turn)
            if record.input_bytes:
                expected = count_expected(record.input_bytes)
                self.expected_bytes[record.turn] = expected
                self.held_bytes += expected
            if record.open_seconds:
                end = self.last_used_at + record.open_seconds
                self.open_until = max(self.open_until, end)
            return True
        is_new = record.turn not in self.settled
        if isinstance(record, Turn):
            is_new = record.turn not in self.completed
            self.held_bytes += count_bytes(record)
            self.held_bytes -= count_bytes(self.completed.get(record.turn))
            self.completed[record.turn] = record
            self.keep_for(record.keep_seconds)
        if self.open.pop(record.turn, None) is not None:
            self.held_bytes -= TOKEN_COUNT_BYTES + len(record.turn)
            self.held_bytes -= self.expected_bytes.pop(record.turn, 0)
        if not self.open:
            self.open_until = 0.0
        if record.turn not in self.settled:
            self.held_bytes += TOKEN_COUNT_BYTES + len(record.turn)
            self.settled[record.turn] = record.tokens
        elif isinstance(record, Turn):
            self.settled[record.turn] = record.tokens
        return is_new

    def keep_for(self, seconds: float) -> None:
        """Keep the program for that long after its last use, unless longer already."""
        self.retention_seconds = max(self.retention_seconds, seconds)

    def lower_budget(self, budget: int | None) -> None:
        """Apply the budget of a call, if it is the smallest so far."""
        if budget is None:
            return
        self.budget = budget if self.budget is None else min(self.budget, budget)

    @property
    def is_empty(self) -> bool:
        """Whether there are no records yet."""
        return not (self.open or self.settled)

    def mark_continued(self, open_seconds: float) -> None:
        """Record that a turn of another program continues this one.

        Parameters
        ----------
        open_seconds : float
            Longest time until that turn ends and says so itself.
        """
        self.last_used_at = time.monotonic()
        if open_seconds:
            end = self.last_used_at + open_seconds
            self.continued_until = max(self.continued_until, end)

    def describe_last_use(self) -> LastUse:
        """Return the record by which the last use can be rebuilt."""
        now = time.monotonic()
        open_seconds = max(0.0, self.continued_until - now)
        return LastUse(self.program, now - self.last_used_at, open_seconds)

    def find_last_use(self, now: float) -> float:
        """Return when the program was last used; `now` while a turn is under way."""
        in_use_until = max(self.open_until, self.continued_until)
        return max(self.last_used_at, min(now, in_use_until))

    def mark_asked(self) -> None:
        """Record the time of the first request about the program."""
        if self.first_asked_at is None and self.is_empty:
            self.first_asked_at = time.monotonic()

    @property
    def age_seconds(self) -> float | None:
        """Time since the first request, if known."""
        return (
            None
            if self.first_asked_at is None
            else time.monotonic() - self.first_asked_at
        )

    @property
    def spent(self) -> int:
        """Tokens used or reserved."""
        return sum(self.settled.values()) + sum(self.open.values())

    def list_records(self, program: str) -> list[Record]:
        """Return records from which this state can be rebuilt."""
        open_seconds = max(0.0, self.open_until - time.monotonic())
        keep_seconds = self.retention_seconds
        records: list[Record] = list(self.completed.values())
        for turn, tokens in self.settled.items():
            if turn not in self.completed:
                records.append(Settled(program, turn, tokens))
        for turn, tokens in self.open.items():
            terms = (self.budget, open_seconds, keep_seconds)
            records.append(Reserved(program, turn, tokens, *terms))
        is_kept_longer = keep_seconds > DEFAULT_RETENTION_SECONDS
        if self.settled and (self.budget is not None or is_kept_longer):
            # A reservation of a settled turn carries only the budget and the retention.
            settled = next(iter(self.settled))
            records.append(
                Reserved(program, settled, 0, self.budget, 0.0, keep_seconds)
            )
        return records

    def is_expired(self, now: float) -> bool:
        """Whether the retention time has passed since the last use."""
        idle_seconds = now - self.find_last_use(now)
        if self.is_empty:
            return idle_seconds > EMPTY_RETENTION_SECONDS
        return idle_seconds > self.retention_seconds + ANSWER_DELAY_SECONDS


def count_bytes(turn: Turn | None) -> int:
    """Return what a completed turn costs in memory; 0 for None."""
    if turn is None:
        return 0
    names = (turn.program, turn.turn, turn.previous, turn.target, *turn.continued)
    return OBJECT_BYTES + count_text(turn) + sum(map(len, names))


def count_text(turn: Turn | None) -> int:
    """Return the bytes of the text of a turn; 0 for None."""
    return 0 if turn is None else len(turn.input) + len(turn.output)


def count_expected(input_bytes: int) -> int:
    """Return what the text of a turn under way is going to cost in memory."""
    copies = 1 if input_bytes <= SMALL_TEXT_BYTES else TRANSFER_COPIES
    return copies * input_bytes
