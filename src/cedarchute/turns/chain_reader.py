"""Reads what a turn goes on from, wherever its pieces are held."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.turns.holder import is_foreign, join_chain
from cedarchute.turns.holder_fanout import ANSWER_SECONDS, Question
from cedarchute.turns.messages import Chain, ReadChain
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.turn_admission import TurnAdmission

if TYPE_CHECKING:
    from cedarchute.turns.holder_fanout import HolderFanout
    from cedarchute.turns.messages import TurnBegun


class NoSuchTurnError(Exception):
    """A quorum of the holders says that a turn was never finished."""

    code = "no_such_turn"


class ChainReader:
    """Joins the chain of a turn from the holders that have its parts."""

    def __init__(self, fanout: HolderFanout) -> None:
        self.fanout = fanout

    def read_previous(
        self, program: str, previous: str, begun: dict[int, TurnBegun]
    ) -> TurnAdmission:
        """Return the chain up to `previous`, joined from several holders if need be.

        Raises
        ------
        NoSuchTurnError
            When there is none, or none of the program's workspace.
        """
        if not previous:
            return TurnAdmission(b"", "")
        for answer in begun.values():
            if answer.text and not answer.missing:
                return TurnAdmission(answer.text, answer.target)
        text = b""
        target = ""
        missing = previous
        while missing:
            chain = self.read(missing)
            if is_foreign(chain.turns[-1], program):
                raise NoSuchTurnError(f"turn {missing} is another workspace's")
            target = target or chain.turns[-1].target
            text = join_chain(list(chain.turns)) + text
            missing = chain.missing
        return TurnAdmission(text, target)

    def read(self, turn: str) -> Chain:
        """Return the longest piece of a chain that any holder has.

        The turn may be one of another program, on holders that its own hash names:
        all are asked. A quorum wrote it down, so when all but the holders that may
        be lost say that they lack it, nobody has it.
        """

        def build(table: SeatTable, number: int) -> ReadChain:
            disk = table.seats[number].disk
            return ReadChain(table_version=table.version, disk=disk, turn=turn)

        def is_enough(table: SeatTable, answers: dict[int, Chain]) -> bool:
            if any(chain.turns for chain in answers.values()):
                return True
            return len(answers) >= table.count_all_but_lost()

        question = Question(
            path="/turns/chain",
            answer=Chain,
            find=SeatTable.list_occupied,
            build=build,
            is_enough=is_enough,
            count_first=lambda table: len(table.seats),
            seconds=ANSWER_SECONDS,
        )
        answers = self.fanout.ask(question)
        longest = max(answers.values(), key=lambda chain: len(chain.turns))
        if not longest.turns:
            raise NoSuchTurnError(f"no turn {turn}")
        return longest
