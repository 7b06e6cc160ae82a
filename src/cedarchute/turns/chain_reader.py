"""Reads the chain of turns that a turn continues, from any holders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from cedarchute.turns.holder import (
    is_other_workspace,
    join_chain,
    list_programs,
)
from cedarchute.turns.holder_fanout import ANSWER_SECONDS, FanoutRequest
from cedarchute.turns.messages import Chain, ReadChain
from cedarchute.turns.seat_table import SeatTable
from cedarchute.turns.turn_admission import TurnAdmission

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.turns.holder_fanout import HolderFanout
    from cedarchute.turns.messages import TurnBegun

log = logging.getLogger("cedarchute.turns")

# Above the length of any chain.
OWN_RANK: Final = 1_000_000_000


class NoSuchTurnError(Exception):
    """No holder has the turn, and enough of them answered to be sure."""

    code = "no_such_turn"


class ChainLoopError(Exception):
    """A chain leads back into itself, since the id of one of its turns was reused."""

    code = "chain_loop"


class ChainReader:
    """Assembles the chain of a turn from the holders that have parts of it."""

    def __init__(self, fanout: HolderFanout) -> None:
        self.fanout = fanout

    def read_previous(
        self,
        program: str,
        previous: str,
        begun: dict[int, TurnBegun],
        turn: str = "",
        count_text: Callable[[int], None] = lambda size: None,
        open_seconds: float = 0.0,
    ) -> TurnAdmission:
        """Return the text and target of the chain that ends at `previous`.

        Parameters
        ----------
        turn : str
            The turn that continues the chain, and so must not be a part of it.
        count_text : callable
            Called with the size of the text after each part of it; may raise.
        open_seconds : float
            Longest time until that turn ends.

        Raises
        ------
        ChainLoopError
            If the chain leads back into itself or to `turn`.
        NoSuchTurnError
            If the chain has a missing turn, or one of another workspace.
        NoQuorumError
            If too few holders answer.
        """
        if not previous:
            return TurnAdmission(b"", "")
        for answer in begun.values():
            if answer.text and not answer.missing:
                return TurnAdmission(
                    answer.text, answer.target, programs=answer.programs
                )
        parts: list[bytes] = []
        programs: set[str] = set()
        target = ""
        missing = previous
        seen = {turn}
        while missing:
            chain = self.read(missing, program, open_seconds)
            turns = list(chain.turns)
            names = {part.turn for part in turns}
            if names & seen:
                raise ChainLoopError(f"turn {missing} continues from itself")
            seen |= names
            parts.append(join_chain(turns))
            count_text(sum(map(len, parts)))
            target = target or turns[-1].target
            programs.update(list_programs(turns))
            missing = chain.missing
            program = turns[0].program
        text = b"".join(reversed(parts))
        return TurnAdmission(text, target, programs=tuple(sorted(programs)))

    def read(
        self, turn: str, program: str | None = None, open_seconds: float = 0.0
    ) -> Chain:
        """Return the longest part of the chain ending at `turn` that a holder has.

        All holders are asked, since the turn may belong to another program, stored in
        other seats. A completed turn is on a quorum, so it does not exist if no holder
        has it, apart from as many as may have failed.
        """

        def build(table: SeatTable, number: int) -> ReadChain:
            disk = table.seats[number].disk
            return ReadChain(
                table_version=table.version,
                disk=disk,
                turn=turn,
                program=program,
                open_seconds=open_seconds,
            )

        def is_enough(table: SeatTable, answers: dict[int, Chain]) -> bool:
            if any(rank_chain(chain, program) for chain in answers.values()):
                return True
            return len(answers) >= table.count_for_absence()

        request = FanoutRequest(
            path="/turns/chain",
            answer=Chain,
            select_seats=SeatTable.list_occupied,
            build=build,
            is_enough=is_enough,
            count_initial=lambda table: len(table.seats),
            seconds=ANSWER_SECONDS,
        )
        answers = self.fanout.ask(request)
        longest = max(answers.values(), key=lambda chain: rank_chain(chain, program))
        if not rank_chain(longest, program):
            self.log_absence(turn, set(answers))
            raise NoSuchTurnError(f"no turn {turn}")
        return longest

    def log_absence(self, turn: str, answered: set[int]) -> None:
        """Log which disks do not know a turn, and which gave no answer."""
        table = self.fanout.seats.table
        unknown, silent = [], []
        for number in table.list_occupied():
            seat = table.seats[number]
            group = unknown if number in answered else silent
            group.append(f"{seat.box}/{seat.disk}")
        log.warning(
            "Turn is unknown to the holders.",
            extra={
                "turn": turn,
                "unknown_at": unknown,
                "no_answer_from": silent,
                "seats_version": table.version,
            },
        )


def rank_chain(chain: Chain, program: str | None) -> int:
    """Return how well a part of a chain suits the program that continues it.

    Holders may each know another turn with the same id. One of the program itself is
    better than any other of its workspace, and a longer part than a shorter one; 0
    means that none of its workspace is among them.
    """
    if not chain.turns:
        return 0
    newest = chain.turns[-1]
    if program is None:
        return len(chain.turns)
    if is_other_workspace(newest, program):
        return 0
    return len(chain.turns) + (OWN_RANK if newest.program == program else 0)
