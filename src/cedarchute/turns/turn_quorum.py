"""Asks the holders of a program, and counts on what a quorum of them says."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, TypeVar

import eventlet
from msgspec.structs import replace

from cedarchute.turns.account_sum import sum_accounts
from cedarchute.turns.chain_reader import ChainReader
from cedarchute.turns.holder_fanout import (
    ANSWER_SECONDS,
    HolderFanout,
    NoQuorumError,
    Question,
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
from cedarchute.turns.records import Settled
from cedarchute.turns.turn_admission import (
    ProgramUsage,
    TurnAdmission,
    find_age,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics
    from cedarchute.turns.active_seat_table import ActiveSeatTable
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.records import Record
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")

AnswerT = TypeVar("AnswerT")

# A record of a turn's end is worth more patience: without it the turn is lost.
FINISH_SECONDS: Final = 3.0


class BudgetSpentError(Exception):
    """The program's budget does not hold another turn."""

    code = "budget_spent"


class TurnQuorum:
    """Reserves, reads and finishes turns on a quorum of their holders.

    Any two quorums of a program share a holder. So of two turns that reserve at
    the same time at least one sees the other, and a turn that was finished is
    known to at least one of any quorum that is asked for it.
    """

    def __init__(
        self,
        seats: ActiveSeatTable,
        client: HolderClient,
        failure_domain: str,
        metrics: Metrics,
    ) -> None:
        self.seats = seats
        self.fanout = HolderFanout(seats, client)
        self.chains = ChainReader(self.fanout)
        self.failure_domain = failure_domain
        self.metrics = metrics

    def begin(
        self, program: str, turn: str, tokens: int, previous: str, budget: int | None
    ) -> TurnAdmission:
        """Reserve the tokens of a turn and read what it goes on from.

        Raises
        ------
        NoQuorumError, NoSuchTurnError, BudgetSpentError
            The reservation is withdrawn, or was never complete.
        """
        begun = self.reserve(program, turn, tokens, previous, budget)
        named = [a.budget for a in begun.values() if a.budget is not None]
        try:
            if named:
                self.check_budget(program, turn, tokens, min(named), begun)
            admission = self.chains.read_previous(program, previous, begun)
            age = find_age([answer.age_seconds for answer in begun.values()])
            return replace(admission, age_seconds=age)
        except Exception:
            self.withdraw(program, turn)
            raise

    def reserve(
        self,
        program: str,
        turn: str,
        tokens: int,
        previous: str,
        budget: int | None = None,
    ) -> dict[int, TurnBegun]:
        """Write the reservation down at a quorum; return what each said."""
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
            )

        path = "/turns/begin"
        return self.ask(program, path, TurnBegun, build, ANSWER_SECONDS, nearest)

    def probe(self) -> None:
        """Ask a quorum about nothing; raise `NoQuorumError` when none answers."""
        self.read_accounts("", is_patient=True)

    def check_budget(
        self,
        program: str,
        turn: str,
        tokens: int,
        budget: int,
        begun: dict[int, TurnBegun],
    ) -> None:
        """Raise `BudgetSpentError` when the turn does not fit.

        The sum of what the holders know is never less than what all know together:
        only when that is too much are their accounts read and joined.
        """
        most = tokens + sum(answer.spent - tokens for answer in begun.values())
        if most <= budget:
            return
        accounts = self.read_accounts(program)
        spent = sum_accounts(list(accounts.values()), turn)
        log.info(
            "Budget read.",
            extra={"program": program, "spent": spent, "tokens": tokens},
        )
        if spent + tokens > budget:
            raise BudgetSpentError(f"{spent} of {budget} tokens spent, {tokens} asked")

    def read_usage(self, program: str) -> ProgramUsage:
        """Return what is known of a program, without booking anything."""

        def build(table: SeatTable, number: int) -> AskStanding:
            disk = table.seats[number].disk
            return AskStanding(table_version=table.version, disk=disk, program=program)

        path = "/turns/standing"
        answers = self.ask(program, path, Standing, build, ANSWER_SECONDS).values()
        spent = max(answer.spent for answer in answers)
        return ProgramUsage(spent, find_age([a.age_seconds for a in answers]))

    def read_accounts(
        self, program: str, is_patient: bool = False
    ) -> dict[int, Account]:
        """Read a program's account at a quorum."""

        def build(table: SeatTable, number: int) -> ReadAccount:
            disk = table.seats[number].disk
            return ReadAccount(table_version=table.version, disk=disk, program=program)

        path = "/turns/account"
        return self.ask(
            program, path, Account, build, ANSWER_SECONDS, is_patient=is_patient
        )

    def withdraw(self, program: str, turn: str) -> None:
        """Give a reservation back, without waiting."""
        self.settle(program, turn, 0)

    def settle(self, program: str, turn: str, tokens: int) -> None:
        """Record what a turn that did not end whole has generated; do not wait."""
        eventlet.spawn_n(self.settle_or_log, Settled(program, turn, tokens))

    def settle_or_log(self, record: Settled) -> None:
        """Settle a turn; a reservation that stays counts as spent."""
        try:
            self.write(record)
        except NoQuorumError:
            self.metrics.count("turns.not_settled")
            log.warning("Reservation stays.", extra={"turn": record.turn})

    def write(self, record: Record) -> None:
        """Write a record down at a quorum; raise `NoQuorumError` if it failed."""

        def build(table: SeatTable, number: int) -> TakeRecords:
            return TakeRecords(
                table_version=table.version,
                disk=table.seats[number].disk,
                records=(record,),
            )

        path = "/turns/take"
        self.ask(
            record.program, path, RecordsTaken, build, FINISH_SECONDS, is_patient=True
        )

    def find_nearest(self, program: str) -> int | None:
        """Return the holder that is asked for texts: one in the own domain, if any."""
        table = self.seats.table
        numbers = self.order_near(table, program)
        occupied = [n for n in numbers if not table.seats[n].is_vacant]
        return next(iter(self.fanout.order_seats(occupied, table)), None)

    def order_near(self, table: SeatTable, program: str) -> list[int]:
        """Return the seats of a program, those in the own failure domain first.

        All its turns come in where its caller is, so they meet the same holders.
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
        wanted: int | None = None,
        is_patient: bool = False,
    ) -> dict[int, AnswerT]:
        """Ask the holders of a program; return once a quorum has answered."""

        def find(table: SeatTable) -> list[int]:
            return self.order_near(table, program)

        def is_enough(table: SeatTable, answers: dict[int, AnswerT]) -> bool:
            return len(answers) >= table.quorum

        question = Question(
            path=path,
            answer=answer,
            find=find,
            build=build,
            is_enough=is_enough,
            count_first=lambda table: table.quorum,
            seconds=seconds,
            is_patient=is_patient,
            wanted=wanted,
        )
        return self.fanout.ask(question)
