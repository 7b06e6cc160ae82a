"""Requests calls from the quota servers of a workspace."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING, Final, TypeVar

from msgspec.structs import asdict, replace

from cedarchute.decisions.program_verdict import ProgramVerdict
from cedarchute.decisions.quota_share import KEEPERS, QuotaGrant
from cedarchute.record import Record
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.messages import (
    QUOTA_PATH,
    AskProgramQuota,
    AskQuota,
    ProgramQuotaAnswered,
    QuotaAnswered,
)

if TYPE_CHECKING:
    from cedarchute.decisions.program_turn import ProgramTurn
    from cedarchute.decisions.quota_share import QuotaLimit
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.holder_fanout import HolderFanout
    from cedarchute.turns.seat import Seat

log = logging.getLogger("cedarchute.turns")

AnswerT = TypeVar("AnswerT", bound=QuotaAnswered)

# Some ten times the usual latency; the next quota server is asked after it.
ANSWER_TIMEOUT: Final = AnswerTimeout(0.1, 0.1)
# Longest time for which a refusal is cached, which limits the requests of a workspace
# that is far above its limit.
REFUSAL_CACHE_SECONDS: Final = 0.1
# How long an unreachable quota server is skipped while others answer: waiting for its
# timeout would cost each call of a workspace over its limit a tenth of a second.
UNREACHABLE_SKIP_SECONDS: Final = 2.0
CACHE_SIZE: Final = 1024


class NoQuotaServerError(Exception):
    """No quota server of the workspace answered."""

    code = "no_keeper"


class CachedRefusal(Record):
    """Last refusal by all quota servers, for one kind of call.

    Attributes
    ----------
    expires_at, next_call_at : float
        When the cached refusal expires, and when a call may be granted; monotonic.
    level : float
        Calls left in all shares together.
    """

    expires_at: float
    next_call_at: float
    level: float


class QuotaClient:
    """Asks one quota server after another until one grants the call.

    Starts with the one that granted last, and otherwise in an order that differs
    between boxes, so that shares are used evenly and most calls need one request.
    """

    def __init__(self, fanout: HolderFanout, client: HolderClient, box: str) -> None:
        self.fanout = fanout
        self.client = client
        self.box = box
        self.unreachable_until: dict[str, float] = {}
        self.granted_by: OrderedDict[str, str] = OrderedDict()
        self.cached_refusals: OrderedDict[tuple[str, bool], CachedRefusal] = (
            OrderedDict()
        )

    def ask(
        self,
        workspace: str,
        limit: QuotaLimit,
        begins_program: bool,
        patience_seconds: float,
        turn: ProgramTurn | None = None,
    ) -> QuotaGrant:
        """Return whether a call is granted, and after how long.

        If no quota server can grant the call now, it is reserved at the one with the
        shortest wait, provided that the call may wait so long.

        Parameters
        ----------
        turn : ProgramTurn or None
            The turn that the call is, if whole programs are admitted: the ledger of
            its workspace is asked first, and no cached refusal answers, since only the
            ledger knows whether the program is under way.

        Raises
        ------
        NoQuotaServerError
            If no quota server can be reached.
        """
        kind = (workspace, begins_program)
        now = time.monotonic()
        refusal = self.cached_refusals.get(kind)
        if turn is None and refusal is not None and now < refusal.expires_at:
            return QuotaGrant(False, refusal.next_call_at - now, refusal.level)
        if self.fanout.is_isolated:
            raise NoQuotaServerError("this box is cut off from the holders")
        numbers = self.find_seats(workspace)
        message = AskQuota(
            workspace=workspace,
            version=limit.version,
            calls_per_second=limit.calls_per_second,
            burst=limit.burst,
            begins_program=begins_program,
            keepers=len(numbers),
        )
        answers: list[tuple[Seat, QuotaAnswered]] = []
        asked = None
        if turn is not None:
            asked = self.ask_ledger(numbers, message, turn)
        # Those that were just silent are not asked again.
        seats = self.order_servers(workspace, numbers)
        if turn is not None:
            if asked is None:
                raise self.report_silence(len(seats))
            if asked[1].granted:
                return QuotaGrant(True)
            if asked[1].verdict is ProgramVerdict.REFUSED:
                return QuotaGrant(False, asked[1].wait_seconds, asked[1].level, True)
            if asked[1].verdict is ProgramVerdict.UNDER_WAY:
                begins_program = False
                message = replace(message, begins_program=False)
            answers.append(asked)
            seats = [seat for seat in seats if seat.disk != asked[0].disk]
        for seat in seats:
            answer = self.ask_one(seat, message)
            if answer is None:
                continue
            if answer.granted:
                put_bounded(self.granted_by, workspace, seat.disk)
                return QuotaGrant(True)
            answers.append((seat, answer))
        if not answers:
            raise self.report_silence(len(seats))
        seat, soonest = min(answers, key=lambda pair: pair[1].wait_seconds)
        if not begins_program and soonest.wait_seconds <= patience_seconds:
            patient = replace(message, patience_seconds=patience_seconds)
            answer = self.ask_one(seat, patient) or soonest
            if answer.granted:
                return QuotaGrant(True, answer.wait_seconds)
        level = sum(answer.level for _, answer in answers)
        if turn is not None:
            return QuotaGrant(False, soonest.wait_seconds, level)
        return self.cache_refusal(kind, soonest.wait_seconds, level)

    def ask_ledger(
        self, numbers: list[int], message: AskQuota, turn: ProgramTurn
    ) -> tuple[Seat, ProgramQuotaAnswered] | None:
        """Return the first answer in the order of rank, the same at all boxes.

        A silent ledger is passed over: the next quota server decides in its place.
        """
        about_program = AskProgramQuota(
            **asdict(message),
            program=turn.program,
            kind=turn.kind,
            calls_per_turn=turn.calls_per_turn,
            seconds_left=turn.seconds_left,
        )
        seats = self.list_reachable(numbers)
        for position, seat in enumerate(seats):
            reachable = len(seats) - position
            told = replace(about_program, reachable=reachable)
            answer = self.ask_one(seat, told, ProgramQuotaAnswered)
            if answer is not None:
                return seat, answer
        return None

    def report_silence(self, asked: int) -> NoQuotaServerError:
        """Return the error for a call that no quota server answered.

        Later calls fail fast, and callers are sent to another box.
        """
        self.fanout.mark_unreachable()
        return NoQuotaServerError(f"none of {asked} keepers answers")

    def cache_refusal(
        self, kind: tuple[str, bool], wait_seconds: float, level: float
    ) -> QuotaGrant:
        """Return a refusal by all quota servers, and cache it briefly."""
        now = time.monotonic()
        expires_at = now + min(wait_seconds, REFUSAL_CACHE_SECONDS)
        refusal = CachedRefusal(expires_at, now + wait_seconds, level)
        put_bounded(self.cached_refusals, kind, refusal)
        return QuotaGrant(False, wait_seconds, level)

    def find_seats(self, workspace: str) -> list[int]:
        """Return the seats that share the limit, including vacant ones."""
        return self.fanout.seats.table.find_seats(f"quota of {workspace}")[:KEEPERS]

    def order_servers(self, workspace: str, numbers: list[int]) -> list[Seat]:
        """Return the occupied seats to ask, in order of preference.

        Skips recently unreachable ones, unless all are.
        """
        table = self.fanout.seats.table
        occupied = [n for n in numbers if not table.seats[n].is_vacant]
        last = self.granted_by.get(workspace)
        occupied.sort(key=lambda n: self.hash_order(workspace, n))
        occupied.sort(key=lambda n: table.seats[n].disk != last)
        return self.list_reachable(self.fanout.order_seats(occupied, table))

    def list_reachable(self, numbers: list[int]) -> list[Seat]:
        """Return the occupied seats in the given order, without unreachable ones.

        All are returned if none is reachable.
        """
        table = self.fanout.seats.table
        seats = [table.seats[n] for n in numbers if not table.seats[n].is_vacant]
        now = time.monotonic()
        reachable = [s for s in seats if self.unreachable_until.get(s.disk, now) <= now]
        return reachable or seats

    def hash_order(self, workspace: str, number: int) -> bytes:
        """Return a sort key for a seat that differs between boxes."""
        text = f"{self.box}/{workspace}/{number}".encode()
        return blake2b(text, digest_size=8).digest()

    def ask_one(
        self,
        seat: Seat,
        message: AskQuota,
        answer: type[AnswerT] = QuotaAnswered,
    ) -> AnswerT | None:
        """Return the answer of one quota server, or None if there is none."""
        try:
            return self.client.ask(
                seat.address, QUOTA_PATH, message, answer, ANSWER_TIMEOUT
            )
        except HolderUnavailableError as error:
            self.fanout.mark_late(seat)
            self.unreachable_until[seat.disk] = (
                time.monotonic() + UNREACHABLE_SKIP_SECONDS
            )
            log.info(
                "Quota server did not answer.",
                extra={"box": seat.box, "why": str(error)},
            )
            return None


def put_bounded(cache: OrderedDict, key: object, value: object) -> None:
    """Store a value; evict the least recently stored one beyond `CACHE_SIZE`."""
    cache[key] = value
    cache.move_to_end(key)
    if len(cache) > CACHE_SIZE:
        cache.popitem(last=False)
