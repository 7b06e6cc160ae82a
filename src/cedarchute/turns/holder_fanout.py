"""Asks several holders at once, and stops waiting once enough have answered."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final, Generic, TypeVar

import eventlet
from eventlet.queue import Empty, LightQueue

from cedarchute.record import Record
from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat_table import Seat, SeatTable

log = logging.getLogger("cedarchute.turns")

AnswerT = TypeVar("AnswerT")

# Between two rounds when too few answered.
RETRY_DELAY_SECONDS: Final = 0.1
# An answer with the text of a chain is worth this wait beyond the quorum's: about
# what asking for it separately takes.
PREFERRED_WAIT_SECONDS: Final = 0.01
# Another holder is asked when those asked first take this long: several times what an
# answer with a synced write takes.
HEDGE_SECONDS: Final = 0.04
# A holder that was late is asked last for this long.
LATE_SECONDS: Final = 2.0
# After this long without one answer that decides, this box is cut off from the
# holders: callers are served better elsewhere.
ISOLATED_AFTER_SECONDS: Final = 0.5
# Then a question whose caller can go elsewhere is given up after this long; it is
# enough for holders that answer again. Others wait: holders may only be slow.
HOPELESS_SECONDS: Final = 0.1
# How long a quorum may take to answer; a holder that was cut off says nothing, and
# the others answer within milliseconds.
ANSWER_SECONDS: Final = 1.5


class NoQuorumError(Exception):
    """Too few holders answered; nothing is known."""

    code = "no_quorum"


class Question(Record, Generic[AnswerT]):
    """What holders are asked.

    Attributes
    ----------
    find : Callable
        Returns the seats to ask by a table.
    build : Callable
        Returns the message to one seat.
    is_enough : Callable
        Tells whether the answers that are there decide.
    count_first : Callable
        Returns how many of the seats are asked at once, in the order of `find`; the
        others only if those are late.
    is_patient : bool
        Whether it is never given up early: nobody else can ask it.
    wanted : int or None
        A seat whose answer is waited for a moment longer.
    """

    path: str
    answer: type[AnswerT]
    find: Callable[[SeatTable], list[int]]
    build: Callable[[SeatTable, int], object]
    is_enough: Callable[[SeatTable, dict[int, AnswerT]], bool]
    count_first: Callable[[SeatTable], int]
    seconds: float
    is_patient: bool = False
    wanted: int | None = None


class SeatAnswer(Record):
    """What one seat said; `value` is None when it said nothing that counts."""

    number: int
    value: object | None
    has_newer_table: bool = False


class HolderFanout:
    """Asks by the newest table; a holder that knows a newer one tells it."""

    def __init__(self, seats: ActiveSeatTable, client: HolderClient) -> None:
        self.seats = seats
        self.client = client
        self.failing_since: float | None = None
        self.late: dict[str, float] = {}

    @property
    def is_isolated(self) -> bool:
        """Whether no question has been decided for a while."""
        if self.failing_since is None:
            return False
        return time.monotonic() - self.failing_since > ISOLATED_AFTER_SECONDS

    def note_unreached(self) -> None:
        """Take in that holders asked in another way did not answer either."""
        self.failing_since = self.failing_since or time.monotonic()

    def ask(self, question: Question[AnswerT]) -> dict[int, AnswerT]:
        """Return the answers by seat, once they decide.

        Raises
        ------
        NoQuorumError
            When they do not within the time of the question.
        """
        started = time.monotonic()
        gives_up_early = self.is_isolated and not question.is_patient
        seconds = HOPELESS_SECONDS if gives_up_early else question.seconds
        deadline = started + seconds
        while True:
            table = self.seats.table
            if not table.closed:
                raise NoQuorumError("no table of seats yet")
            answers, is_old = self.ask_once(table, question, deadline)
            if question.is_enough(table, answers):
                self.failing_since = None
                return answers
            self.failing_since = self.failing_since or started
            if not is_old and time.monotonic() + RETRY_DELAY_SECONDS > deadline:
                raise NoQuorumError(f"only {len(answers)} holders answer")
            eventlet.sleep(0 if is_old else RETRY_DELAY_SECONDS)

    def ask_once(
        self, table: SeatTable, question: Question[AnswerT], deadline: float
    ) -> tuple[dict[int, AnswerT], bool]:
        """Ask by one table; return the answers, and whether the table is old."""
        round_ = FanoutRound(self, table, question)
        answers: dict[int, AnswerT] = {}
        is_old = False
        round_.ask_first()
        while round_.asked > round_.heard or round_.waiting:
            result = round_.wait(deadline)
            if result is None:
                break
            is_old = is_old or result.has_newer_table
            if result.value is not None:
                answers[result.number] = result.value
            if not question.is_enough(table, answers):
                continue
            if question.wanted is None or question.wanted in answers:
                break
            deadline = min(deadline, time.monotonic() + PREFERRED_WAIT_SECONDS)
        return answers, is_old

    def order_seats(self, numbers: list[int], table: SeatTable) -> list[int]:
        """Return seats in order, those that were late a moment ago last."""
        now = time.monotonic()
        return sorted(
            numbers, key=lambda n: self.late.get(table.seats[n].disk, 0) > now
        )

    def note_late(self, seat: Seat) -> None:
        """Take in that a holder did not answer in time."""
        self.late[seat.disk] = time.monotonic() + LATE_SECONDS

    def ask_one(
        self,
        results: LightQueue,
        number: int,
        seat: Seat,
        message: object,
        question: Question[AnswerT],
    ) -> None:
        """Ask one holder and hand its answer over."""
        newer = False
        value = None
        started = time.monotonic()
        try:
            value = self.client.ask(
                seat.address, question.path, message, question.answer
            )
        except HolderRefusedError as error:
            table = error.refusal.table
            newer = table is not None and self.seats.update(table, seat.box)
            self.note_late(seat)
            log.info("Holder refused.", extra={"box": seat.box, "why": str(error)})
        except HolderUnavailableError as error:
            self.note_late(seat)
            log.info("Holder is silent.", extra={"box": seat.box, "why": str(error)})
        if time.monotonic() - started > HEDGE_SECONDS:
            self.note_late(seat)
        results.put(SeatAnswer(number, value, newer))


class FanoutRound(Generic[AnswerT]):
    """One round of questions: a few holders first, the rest if they are late."""

    def __init__(
        self, fanout: HolderFanout, table: SeatTable, question: Question[AnswerT]
    ) -> None:
        self.fanout = fanout
        self.table = table
        self.question = question
        self.results: LightQueue = LightQueue()
        occupied = [n for n in question.find(table) if not table.seats[n].is_vacant]
        self.waiting = fanout.order_seats(occupied, table)
        self.asked = 0
        self.heard = 0

    def ask_first(self) -> None:
        """Ask as many holders as have to answer."""
        first = self.question.count_first(self.table)
        for _ in range(min(first, len(self.waiting))):
            self.ask_next()

    def ask_next(self) -> None:
        """Ask one more holder, if one is left."""
        if not self.waiting:
            return
        number = self.waiting.pop(0)
        self.asked += 1
        message = self.question.build(self.table, number)
        seat = self.table.seats[number]
        eventlet.spawn_n(
            self.fanout.ask_one, self.results, number, seat, message, self.question
        )

    def wait(self, deadline: float) -> SeatAnswer | None:
        """Return the next answer, or None at the deadline.

        When holders are late, or one says nothing that counts, another is asked.
        """
        while True:
            left = deadline - time.monotonic()
            hedge = bool(self.waiting) and left > HEDGE_SECONDS
            try:
                result = self.results.get(
                    timeout=HEDGE_SECONDS if hedge else max(0.001, left)
                )
            except Empty:
                if not hedge:
                    return None
                self.ask_next()
                continue
            self.heard += 1
            if result.value is None:
                self.ask_next()
            return result
