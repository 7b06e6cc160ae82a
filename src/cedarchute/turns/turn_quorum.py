"""Quorum reads and writes at the holders of a program."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Final, TypeVar

import eventlet
from msgspec.structs import replace

from cedarchute.pressure.byte_gate import ByteGate
from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.held_bytes import HeldCause
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.turns.account_sum import knows_turn, sum_accounts
from cedarchute.turns.budget_spent_error import BudgetSpentError
from cedarchute.turns.chain_reader import ChainReader
from cedarchute.turns.holder_fanout import (
    ANSWER_SECONDS,
    FanoutRequest,
    HolderFanout,
    NoQuorumError,
)
from cedarchute.turns.messages import (
    Account,
    AskStanding,
    BeginTurn,
    ReadAccount,
    RecordsTaken,
    Standing,
    TakeRecords,
    TurnBegun,
)
from cedarchute.turns.records import Settled, Turn
from cedarchute.turns.turn_admission import (
    ProgramUsage,
    TurnAdmission,
    max_age,
)
from cedarchute.turns.turn_terms import NO_TERMS, TurnTerms

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.records import Record
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")

AnswerT = TypeVar("AnswerT")

# Shortest timeout for the final record of a turn, without which the turn is lost.
FINISH_SECONDS: Final = 3.0
# A text in JSON is in Base64.
ENCODED_SIZE: Final = 4 / 3
# A text of this size comes with the reservation; a larger one is asked for once its
# size is known and there is room.
SMALL_HISTORY_BYTES: Final = 262_144
# It is read in JSON, decoded and joined.
READ_COPIES: Final = 4
# What may be on its way to holders at once, on the smallest box.
DEFAULT_SENT_BYTES: Final = 15_000_000


class TurnQuorum:
    """Reserves, reads and finishes turns at a quorum of their holders.

    Any two quorums of a program share a holder. So of two concurrent reservations at
    least one sees the other, and any quorum has a holder that knows a given
    completed turn.
    """

    def __init__(
        self,
        seats: ActiveSeatTable,
        client: HolderClient,
        failure_domain: str,
        metrics: Metrics,
        gate: ByteGate | None = None,
        held: HeldBytes = UNBOUNDED,
    ) -> None:
        self.held = held
        self.gate = gate or ByteGate(DEFAULT_SENT_BYTES, metrics)
        self.seats = seats
        self.fanout = HolderFanout(seats, client)
        self.chains = ChainReader(self.fanout)
        self.failure_domain = failure_domain
        self.metrics = metrics

    def begin(
        self,
        program: str,
        turn: str,
        tokens: int,
        previous: str,
        budget: int | None,
        terms: TurnTerms = NO_TERMS,
    ) -> TurnAdmission:
        """Reserve the tokens of a turn and read the chain that it continues.

        Raises
        ------
        NoQuorumError, NoSuchTurnError, ChainLoopError, BudgetSpentError
            The reservation is cancelled.
        """
        try:
            begun = self.reserve(program, turn, tokens, previous, budget, terms)
        except BaseException:
            # Some holders may have stored it. While a quorum is away each refused turn
            # may cost them one more request, not a series of tries.
            self.settle(program, turn, 0, uses_full_timeout=False)
            raise
        budgets = [a.budget for a in begun.values() if a.budget is not None]
        try:
            if budgets:
                self.check_budget(program, turn, tokens, min(budgets), begun)
            with HeldAmount(self.held, HeldCause.HISTORY) as reading:
                size = find_left_out(begun)
                if size:
                    self.count_history(size, reading)
                    begun = self.reserve(
                        program, turn, tokens, previous, budget, terms, size
                    )
                admission = self.chains.read_previous(
                    program,
                    previous,
                    begun,
                    turn,
                    partial(self.count_parts, reading=reading),
                    terms.open_seconds,
                )
            age = max_age([answer.age_seconds for answer in begun.values()])
            return replace(admission, age_seconds=age)
        except BaseException:
            self.cancel_reservation(program, turn)
            raise

    def reserve(
        self,
        program: str,
        turn: str,
        tokens: int,
        previous: str,
        budget: int | None = None,
        terms: TurnTerms = NO_TERMS,
        max_text_bytes: int = SMALL_HISTORY_BYTES,
    ) -> dict[int, TurnBegun]:
        """Write the reservation at a quorum; return the answers by seat.

        Parameters
        ----------
        max_text_bytes : int
            A longer text of the turns before is left out, and its size told.
        """
        nearest = self.find_nearest(program)

        def build(table: SeatTable, number: int) -> BeginTurn:
            return BeginTurn(
                table_version=table.version,
                disk=table.seats[number].disk,
                program=program,
                turn=turn,
                tokens=tokens,
                budget=budget,
                previous=previous,
                wants_text=number == nearest,
                max_text_bytes=max_text_bytes,
                open_seconds=terms.open_seconds,
                keep_seconds=terms.keep_seconds,
                input_bytes=terms.input_bytes,
            )

        path = "/turns/begin"
        return self.ask(
            program,
            path,
            TurnBegun,
            build,
            ANSWER_SECONDS,
            nearest,
            gives_up_when_full=True,
        )

    def count_history(self, size: int, reading: HeldAmount) -> None:
        """Count a large text before it is read.

        Raises
        ------
        NoQuorumError
            When there is no room for it; the turn has not run.
        """
        count = READ_COPIES * size
        if not self.held.has_room(count):
            self.metrics.count_refusal("held_history")
            raise NoQuorumError(f"no room for the turns before: {size} bytes")
        reading.grow(count)

    def count_parts(self, size: int, reading: HeldAmount) -> None:
        """Count a text that is read in parts from several holders, so far.

        Raises
        ------
        NoQuorumError
            When there is no room for it; the turn has not run.
        """
        counted = reading.count // READ_COPIES
        if size > max(SMALL_HISTORY_BYTES, counted):
            self.count_history(size - counted, reading)

    def probe(self) -> None:
        """Check that a quorum answers; raise `NoQuorumError` otherwise."""
        self.read_accounts("", uses_full_timeout=True)

    def check_budget(
        self,
        program: str,
        turn: str,
        tokens: int,
        budget: int,
        begun: dict[int, TurnBegun],
    ) -> None:
        """Raise `BudgetSpentError` if the turn does not fit into the budget.

        The sum over holders is an upper bound of the tokens used. The accounts are
        read and merged only if that exceeds the budget, at a quorum that has this
        reservation: a holder without it could still admit another turn unseen.
        """
        upper_bound = tokens + sum(answer.spent - tokens for answer in begun.values())
        if upper_bound <= budget:
            return
        accounts = self.read_accounts(program, turn)
        spent = sum_accounts(list(accounts.values()), turn)
        log.info(
            "Budget checked against merged accounts.",
            extra={"program": program, "spent": spent, "tokens": tokens},
        )
        if spent + tokens > budget:
            raise BudgetSpentError(f"{spent} of {budget} tokens spent, {tokens} asked")

    def read_usage(self, program: str) -> ProgramUsage:
        """Return the tokens and age of a program, without a reservation."""

        def build(table: SeatTable, number: int) -> AskStanding:
            disk = table.seats[number].disk
            return AskStanding(table_version=table.version, disk=disk, program=program)

        path = "/turns/standing"
        answers = self.ask(
            program, path, Standing, build, ANSWER_SECONDS, gives_up_when_full=True
        ).values()
        spent = max(answer.spent for answer in answers)
        return ProgramUsage(spent, max_age([a.age_seconds for a in answers]))

    def read_accounts(
        self, program: str, reserved_turn: str = "", uses_full_timeout: bool = False
    ) -> dict[int, Account]:
        """Read the accounts of a program at a quorum, by seat.

        Parameters
        ----------
        reserved_turn : str
            If set, only holders with a reservation of this turn count.
        """

        def build(table: SeatTable, number: int) -> ReadAccount:
            disk = table.seats[number].disk
            return ReadAccount(table_version=table.version, disk=disk, program=program)

        return self.ask(
            program,
            "/turns/account",
            Account,
            build,
            ANSWER_SECONDS,
            uses_full_timeout=uses_full_timeout,
            counts=lambda a: not reserved_turn or knows_turn(a, reserved_turn),
        )

    def cancel_reservation(self, program: str, turn: str) -> None:
        """Cancel a reservation in the background."""
        self.settle(program, turn, 0)

    def settle(
        self, program: str, turn: str, tokens: int, uses_full_timeout: bool = True
    ) -> None:
        """Record the tokens of a turn that did not complete, in the background."""
        record = Settled(program, turn, tokens)
        eventlet.spawn_n(self.settle_or_log, record, uses_full_timeout)

    def settle_or_log(self, record: Settled, uses_full_timeout: bool = True) -> None:
        """Settle a turn; if that fails, its whole reservation counts as used."""
        try:
            self.write(record, uses_full_timeout=uses_full_timeout)
        except NoQuorumError:
            self.metrics.count("turns.not_settled")
            log.warning(
                "Turn not settled; its reservation stays.", extra={"turn": record.turn}
            )

    def write(
        self, record: Record, min_seconds: float = 0.0, uses_full_timeout: bool = True
    ) -> None:
        """Write a record at a quorum; raise `NoQuorumError` on failure.

        Parameters
        ----------
        min_seconds : float
            Raises the timeout to at least this.
        uses_full_timeout : bool
            Whether to wait that long even on an isolated box.
        """

        def build(table: SeatTable, number: int) -> TakeRecords:
            return TakeRecords(
                table_version=table.version,
                disk=table.seats[number].disk,
                records=(record,),
            )

        path = "/turns/take"
        with self.gate.admitting(self.measure_copies(record)):
            self.ask(
                record.program,
                path,
                RecordsTaken,
                build,
                max(FINISH_SECONDS, min_seconds),
                uses_full_timeout=uses_full_timeout,
            )

    def measure_copies(self, record: Record) -> int:
        """Return the bytes of the copies of a record that are sent at once."""
        if not isinstance(record, Turn):
            return 0
        text = len(record.input) + len(record.output)
        return int(ENCODED_SIZE * text) * self.seats.table.quorum

    def find_nearest(self, program: str) -> int | None:
        """Return the seat to request texts from, in this failure domain if possible."""
        table = self.seats.table
        numbers = self.order_by_proximity(table, program)
        occupied = [n for n in numbers if not table.seats[n].is_vacant]
        return next(iter(self.fanout.order_seats(occupied, table)), None)

    def order_by_proximity(self, table: SeatTable, program: str) -> list[int]:
        """Return the seats of a program, those in this failure domain first.

        Turns of a program usually arrive in one failure domain, and so use the same
        holders.
        """
        seats = table.seats
        return sorted(
            table.find_seats(program),
            key=lambda n: seats[n].failure_domain != self.failure_domain,
        )

    def ask(
        self,
        program: str,
        path: str,
        answer: type[AnswerT],
        build: Callable[[SeatTable, int], object],
        seconds: float,
        preferred: int | None = None,
        uses_full_timeout: bool = False,
        counts: Callable[[AnswerT], bool] = lambda answer: True,
        gives_up_when_full: bool = False,
    ) -> dict[int, AnswerT]:
        """Send a request to the holders of a program; return a quorum of answers.

        Answers for which `counts` is false are returned, but are none of the quorum.
        """

        def select_seats(table: SeatTable) -> list[int]:
            return self.order_by_proximity(table, program)

        def is_enough(table: SeatTable, answers: dict[int, AnswerT]) -> bool:
            return sum(map(counts, answers.values())) >= table.quorum

        request = FanoutRequest(
            path=path,
            answer=answer,
            select_seats=select_seats,
            build=build,
            is_enough=is_enough,
            count_initial=lambda table: table.quorum,
            seconds=seconds,
            uses_full_timeout=uses_full_timeout,
            preferred=preferred,
            gives_up_when_full=gives_up_when_full,
        )
        return self.fanout.ask(request)


def find_left_out(begun: dict[int, TurnBegun]) -> int:
    """Return the size of a text that was left out for its length; 0 if none was."""
    if any(answer.text for answer in begun.values()):
        return 0
    size = max(answer.text_bytes for answer in begun.values())
    return size if size > SMALL_HISTORY_BYTES else 0
