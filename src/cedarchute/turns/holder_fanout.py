"""Sends a request to several holders and returns once enough have answered."""

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
    from cedarchute.turns.seat import Seat
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")

AnswerT = TypeVar("AnswerT")

# Delay between two rounds when too few holders answered.
RETRY_DELAY_SECONDS: Final = 0.1
# Extra wait for the preferred holder once the quorum has answered; about the cost of
# a separate request for the chain's text.
PREFERRED_WAIT_SECONDS: Final = 0.01
# Delay before a hedged request to another holder: several times what an answer with a
# synced write takes.
HEDGE_SECONDS: Final = 0.04
# How long a late holder is asked last.
LATE_SECONDS: Final = 2.0
# After this long without a quorum, this box counts as isolated from the holders, and
# callers should use another box.
ISOLATED_AFTER_SECONDS: Final = 0.5
# Timeout of an isolated box for requests whose caller can retry at another box; enough
# to notice that holders answer again. Other requests wait longer, since the holders may
# only be slow.
ISOLATED_TIMEOUT_SECONDS: Final = 0.1
NO_ANSWER: Final = "no answer"
# Reason of a holder that takes no further turns.
FULL: Final = "full"
# Timeout for a quorum of answers. Holders answer within milliseconds; one that is
# partitioned says nothing.
ANSWER_SECONDS: Final = 1.5


class NoQuorumError(Exception):
    """Too few holders answered for a decision."""

    code = "no_quorum"


class FanoutRequest(Record, Generic[AnswerT]):
    """A request to several holders.

    Attributes
    ----------
    select_seats : Callable
        Returns the numbers of the seats to ask under a table, in order of preference.
    build : Callable
        Returns the message for one seat.
    is_enough : Callable
        Returns whether the answers received suffice.
    count_initial : Callable
        Returns how many of the seats are asked at once, in that order; the others are
        asked only if these are late.
    seconds : float
        Timeout of the request.
    uses_full_timeout : bool
        Whether to wait for the full timeout even on an isolated box, for requests
        that cannot be retried elsewhere.
    preferred : int or None
        A seat whose answer is worth a short extra wait.
    gives_up_when_full : bool
        Whether to fail at once when holders take no further turns.
    """

    path: str
    answer: type[AnswerT]
    select_seats: Callable[[SeatTable], list[int]]
    build: Callable[[SeatTable, int], object]
    is_enough: Callable[[SeatTable, dict[int, AnswerT]], bool]
    count_initial: Callable[[SeatTable], int]
    seconds: float
    uses_full_timeout: bool = False
    preferred: int | None = None
    gives_up_when_full: bool = False


class SeatAnswer(Record):
    """Answer from one seat; `value` is None if there was no usable answer."""

    number: int
    value: object | None


class HolderFanout:
    """Sends requests under the newest table, and updates it from rejections.

    Attributes
    ----------
    failures : dict of str to str
        Why each box gave no usable answer to the last request that it was sent.
    """

    def __init__(self, seats: ActiveSeatTable, client: HolderClient) -> None:
        self.seats = seats
        self.client = client
        self.failing_since: float | None = None
        self.late: dict[str, float] = {}
        self.failures: dict[str, str] = {}

    @property
    def is_isolated(self) -> bool:
        """Whether requests have failed to reach a quorum for a while."""
        if self.failing_since is None:
            return False
        return time.monotonic() - self.failing_since > ISOLATED_AFTER_SECONDS

    def explain_failures(self) -> dict[str, object]:
        """Return why each holder of the table failed last, and who lacks records."""
        table = self.seats.table
        boxes = {seat.box for seat in table.seats}
        return {
            "seats_version": table.version,
            "failures": {b: why for b, why in self.failures.items() if b in boxes},
            "incomplete": table.list_incomplete(),
        }

    def mark_unreachable(self) -> None:
        """Record that holders did not answer a request sent outside this fanout."""
        self.failing_since = self.failing_since or time.monotonic()

    def ask(self, request: FanoutRequest[AnswerT]) -> dict[int, AnswerT]:
        """Return the answers by seat number, once enough have arrived.

        Raises
        ------
        NoQuorumError
            If there is no seat table yet, or too few answers before the timeout.
        """
        started = time.monotonic()
        gives_up_early = self.is_isolated and not request.uses_full_timeout
        seconds = ISOLATED_TIMEOUT_SECONDS if gives_up_early else request.seconds
        deadline = started + seconds
        while True:
            table = self.seats.table
            if not table.closed:
                raise NoQuorumError("no table of seats yet")
            answers, is_old = self.ask_once(table, request, deadline)
            if request.is_enough(table, answers):
                self.failing_since = None
                return answers
            self.failing_since = self.failing_since or started
            if request.gives_up_when_full and self.is_full(table):
                raise NoQuorumError("holders take no further turns")
            if not is_old and time.monotonic() + RETRY_DELAY_SECONDS > deadline:
                raise NoQuorumError(f"only {len(answers)} holders answer")
            eventlet.sleep(0 if is_old else RETRY_DELAY_SECONDS)

    def is_full(self, table: SeatTable) -> bool:
        """Whether so many holders take no further turns that no quorum is left."""
        boxes = {seat.box for seat in table.seats if not seat.is_vacant}
        full = sum(self.failures.get(box) == FULL for box in boxes)
        return len(boxes) - full < table.quorum

    def ask_once(
        self, table: SeatTable, request: FanoutRequest[AnswerT], deadline: float
    ) -> tuple[dict[int, AnswerT], bool]:
        """Run one round; return the answers and whether `table` is outdated.

        An outdated table ends the round: its remaining holders may be gone, and those
        of the newer one can be asked at once.
        """
        round_ = FanoutRound(self, table, request)
        answers: dict[int, AnswerT] = {}
        round_.ask_initial()
        while round_.asked > round_.received or round_.remaining:
            result = round_.wait(deadline)
            if result is None:
                break
            if result.value is not None:
                answers[result.number] = result.value
            if not request.is_enough(table, answers):
                if self.seats.table.version > table.version:
                    break
                continue
            if request.preferred is None or request.preferred in answers:
                break
            deadline = min(deadline, time.monotonic() + PREFERRED_WAIT_SECONDS)
        return answers, self.seats.table.version > table.version

    def order_seats(self, numbers: list[int], table: SeatTable) -> list[int]:
        """Return seat numbers in the given order, but recently late ones last."""
        now = time.monotonic()
        return sorted(
            numbers, key=lambda n: self.late.get(table.seats[n].disk, 0) > now
        )

    def mark_late(self, seat: Seat) -> None:
        """Record that a holder did not answer in time."""
        self.late[seat.disk] = time.monotonic() + LATE_SECONDS

    def ask_one(
        self,
        results: LightQueue,
        number: int,
        seat: Seat,
        message: object,
        request: FanoutRequest[AnswerT],
    ) -> None:
        """Send a request to one holder and queue its answer."""
        value = None
        started = time.monotonic()
        try:
            value = self.client.ask(seat.address, request.path, message, request.answer)
            self.failures.pop(seat.box, None)
        except HolderRefusedError as error:
            self.failures[seat.box] = (
                FULL if error.refusal.is_full else error.refusal.reason
            )
            if error.refusal.table is not None:
                self.seats.update(error.refusal.table, seat.box)
            self.mark_late(seat)
            log.info(
                "Holder rejected the request.",
                extra={"box": seat.box, "why": str(error)},
            )
        except HolderUnavailableError as error:
            self.failures[seat.box] = NO_ANSWER
            self.mark_late(seat)
            log.info(
                "Holder did not answer.", extra={"box": seat.box, "why": str(error)}
            )
        if time.monotonic() - started > HEDGE_SECONDS:
            self.mark_late(seat)
        results.put(SeatAnswer(number, value))


class FanoutRound(Generic[AnswerT]):
    """One round of requests: a few holders first, the rest as hedges."""

    def __init__(
        self, fanout: HolderFanout, table: SeatTable, request: FanoutRequest[AnswerT]
    ) -> None:
        self.fanout = fanout
        self.table = table
        self.request = request
        self.results: LightQueue = LightQueue()
        occupied = [
            n for n in request.select_seats(table) if not table.seats[n].is_vacant
        ]
        self.remaining = fanout.order_seats(occupied, table)
        self.asked = 0
        self.received = 0

    def ask_initial(self) -> None:
        """Ask as many holders as have to answer."""
        first = self.request.count_initial(self.table)
        for _ in range(min(first, len(self.remaining))):
            self.ask_next()

    def ask_next(self) -> None:
        """Ask one more holder, if any remains."""
        if not self.remaining:
            return
        number = self.remaining.pop(0)
        self.asked += 1
        message = self.request.build(self.table, number)
        seat = self.table.seats[number]
        eventlet.spawn_n(
            self.fanout.ask_one, self.results, number, seat, message, self.request
        )

    def wait(self, deadline: float) -> SeatAnswer | None:
        """Return the next answer, or None at the deadline.

        Asks another holder when the answers are late or one is unusable.
        """
        while True:
            left = deadline - time.monotonic()
            hedge = bool(self.remaining) and left > HEDGE_SECONDS
            try:
                result = self.results.get(
                    timeout=HEDGE_SECONDS if hedge else max(0.001, left)
                )
            except Empty:
                if not hedge:
                    return None
                self.ask_next()
                continue
            self.received += 1
            if result.value is None:
                self.ask_next()
            return result
