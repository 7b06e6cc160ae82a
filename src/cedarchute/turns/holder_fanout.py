"""Asks several holders at once, and stops waiting once enough have answered."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Generic, TypeVar

import eventlet
from eventlet.queue import Empty, LightQueue

from cedarchute.turns.holder_client import (
    HolderRefusedError,
    HolderUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat_book import SeatBook
    from cedarchute.turns.seat_table import Seat, SeatTable

log = logging.getLogger("cedarchute.turns")

AnswerT = TypeVar("AnswerT")

# Between two rounds when too few answered.
PAUSE_SECONDS: Final = 0.1
# An answer with the text of a chain is worth this wait beyond the quorum's: about
# what asking for it separately takes.
WANTED_SECONDS: Final = 0.01
# After this long without one answer that decides, this box is cut off from the
# holders: callers are served better elsewhere.
CUT_OFF_SECONDS: Final = 0.5
# Then a question is given up after this long, so that a caller can go elsewhere; it
# is enough for holders that answer again.
HOPELESS_SECONDS: Final = 0.1


class NoQuorumError(Exception):
    """Too few holders answered; nothing is known."""

    code = "no_quorum"


@dataclass(frozen=True)
class Question(Generic[AnswerT]):
    """What holders are asked.

    Attributes
    ----------
    find : Callable
        Returns the seats to ask by a table.
    build : Callable
        Returns the message to one seat.
    is_enough : Callable
        Tells whether the answers that are there decide.
    wanted : int or None
        A seat whose answer is waited for a moment longer.
    """

    path: str
    answer: type[AnswerT]
    find: Callable[[SeatTable], list[int]]
    build: Callable[[SeatTable, int], object]
    is_enough: Callable[[SeatTable, dict[int, AnswerT]], bool]
    seconds: float
    wanted: int | None = None


@dataclass(frozen=True)
class SeatAnswer:
    """What one seat said; `value` is None when it said nothing that counts."""

    number: int
    value: object | None
    has_newer_table: bool = False


class HolderFanout:
    """Asks by the newest table; a holder that knows a newer one tells it."""

    def __init__(self, seats: SeatBook, client: HolderClient) -> None:
        self.seats = seats
        self.client = client
        self.failing_since: float | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether no question has been decided for a while."""
        if self.failing_since is None:
            return False
        return time.monotonic() - self.failing_since > CUT_OFF_SECONDS

    def ask(self, question: Question[AnswerT]) -> dict[int, AnswerT]:
        """Return the answers by seat, once they decide.

        Raises
        ------
        NoQuorumError
            When they do not within the time of the question.
        """
        started = time.monotonic()
        seconds = HOPELESS_SECONDS if self.is_cut_off else question.seconds
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
            if not is_old and time.monotonic() + PAUSE_SECONDS > deadline:
                raise NoQuorumError(f"only {len(answers)} holders answer")
            eventlet.sleep(0 if is_old else PAUSE_SECONDS)

    def ask_once(
        self, table: SeatTable, question: Question[AnswerT], deadline: float
    ) -> tuple[dict[int, AnswerT], bool]:
        """Ask by one table; return the answers, and whether the table is old."""
        results: LightQueue = LightQueue()
        numbers = [n for n in question.find(table) if not table.seats[n].is_vacant]
        for number in numbers:
            message = question.build(table, number)
            seat = table.seats[number]
            eventlet.spawn_n(self.ask_one, results, number, seat, message, question)
        answers: dict[int, AnswerT] = {}
        is_old = False
        for _ in numbers:
            try:
                result = results.get(timeout=max(0.001, deadline - time.monotonic()))
            except Empty:
                break
            is_old = is_old or result.has_newer_table
            if result.value is not None:
                answers[result.number] = result.value
            if not question.is_enough(table, answers):
                continue
            if question.wanted is None or question.wanted in answers:
                break
            deadline = min(deadline, time.monotonic() + WANTED_SECONDS)
        return answers, is_old

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
        try:
            value = self.client.ask(
                seat.address, question.path, message, question.answer
            )
        except HolderRefusedError as error:
            table = error.refusal.table
            newer = table is not None and self.seats.offer(table, seat.box)
            log.info("Holder refused.", extra={"box": seat.box, "why": str(error)})
        except HolderUnavailableError as error:
            log.info("Holder is silent.", extra={"box": seat.box, "why": str(error)})
        results.put(SeatAnswer(number, value, newer))
