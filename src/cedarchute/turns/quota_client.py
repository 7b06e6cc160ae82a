"""Asks the keepers of a workspace's limit whether a call may pass."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

import urllib3
from msgspec.structs import replace

from cedarchute.decisions.quota_share import KEEPERS, QuotaGrant
from cedarchute.record import Record
from cedarchute.turns.holder_client import HolderUnavailableError
from cedarchute.turns.messages import QUOTA_PATH, AskQuota, QuotaAnswered

if TYPE_CHECKING:
    from cedarchute.decisions.quota_share import QuotaLimit
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.holder_fanout import HolderFanout
    from cedarchute.turns.seat_table import Seat

log = logging.getLogger("cedarchute.turns")

# Some ten times what an answer takes; another keeper is asked after that.
ANSWER_TIMEOUT: Final = urllib3.Timeout(connect=0.1, read=0.1)
# A refusal of all keepers is believed this long at the most, so that a workspace far
# beyond its limit costs them no three questions for each of its calls.
BELIEVED_SECONDS: Final = 0.1
# A keeper that was silent is not asked for this long while others answer: a lost one
# would cost each call of a workspace beyond its limit a tenth of a second.
SILENT_SECONDS: Final = 2.0
MOST_REMEMBERED: Final = 1024


class NoQuotaServerError(Exception):
    """None of the keepers of a limit answered."""

    code = "no_keeper"


class Refusal(Record):
    """What all keepers answered last to calls of one kind.

    Attributes
    ----------
    believed_until, passes_at : float
        Until when nobody is asked again, and when a call may pass; monotonic times.
    level : float
        Calls that were left.
    """

    believed_until: float
    passes_at: float
    level: float


class QuotaClient:
    """Asks one keeper after another until one grants the call.

    Each box begins with another one, and with the one that granted last: so the shares
    of a limit are used evenly, and most calls ask once.
    """

    def __init__(self, fanout: HolderFanout, client: HolderClient, box: str) -> None:
        self.fanout = fanout
        self.client = client
        self.box = box
        self.silent_until: dict[str, float] = {}
        self.granted_by: OrderedDict[str, str] = OrderedDict()
        self.refused: OrderedDict[tuple[str, bool], Refusal] = OrderedDict()

    def ask(
        self,
        workspace: str,
        limit: QuotaLimit,
        begins_program: bool,
        patience_seconds: float,
    ) -> QuotaGrant:
        """Return whether a call may pass, and after how long.

        When no keeper has a free call now, the one that has it first is asked to keep
        it for this call.

        Raises
        ------
        NoQuotaServerError
            When that is not known.
        """
        kind = (workspace, begins_program)
        now = time.monotonic()
        refusal = self.refused.get(kind)
        if refusal is not None and now < refusal.believed_until:
            return QuotaGrant(False, refusal.passes_at - now, refusal.level)
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
        seats = self.order_keepers(workspace, numbers)
        for seat in seats:
            answer = self.ask_one(seat, message)
            if answer is None:
                continue
            if answer.granted:
                remember(self.granted_by, workspace, seat.disk)
                return QuotaGrant(True)
            answers.append((seat, answer))
        if not answers:
            # Callers are sent elsewhere by that, and no call waits for silence again.
            self.fanout.note_unreached()
            raise NoQuotaServerError(f"none of {len(seats)} keepers answers")
        seat, soonest = min(answers, key=lambda pair: pair[1].wait_seconds)
        if not begins_program and soonest.wait_seconds <= patience_seconds:
            patient = replace(message, patience_seconds=patience_seconds)
            answer = self.ask_one(seat, patient) or soonest
            if answer.granted:
                return QuotaGrant(True, answer.wait_seconds)
        level = sum(answer.level for _, answer in answers)
        return self.remember_refusal(kind, soonest.wait_seconds, level)

    def remember_refusal(
        self, kind: tuple[str, bool], wait_seconds: float, level: float
    ) -> QuotaGrant:
        """Return the refusal of all keepers, and believe it for a moment."""
        now = time.monotonic()
        believed_until = now + min(wait_seconds, BELIEVED_SECONDS)
        refusal = Refusal(believed_until, now + wait_seconds, level)
        remember(self.refused, kind, refusal)
        return QuotaGrant(False, wait_seconds, level)

    def find_seats(self, workspace: str) -> list[int]:
        """Return the seats that a limit is split among, vacant ones too."""
        return self.fanout.seats.table.find_seats(f"quota of {workspace}")[:KEEPERS]

    def order_keepers(self, workspace: str, numbers: list[int]) -> list[Seat]:
        """Return the holders to ask of these seats, in that order."""
        table = self.fanout.seats.table
        occupied = [n for n in numbers if not table.seats[n].is_vacant]
        last = self.granted_by.get(workspace)
        occupied.sort(key=lambda n: self.find_place(workspace, n))
        occupied.sort(key=lambda n: table.seats[n].disk != last)
        seats = [table.seats[n] for n in self.fanout.order_seats(occupied, table)]
        now = time.monotonic()
        heard = [s for s in seats if self.silent_until.get(s.disk, now) <= now]
        return heard or seats

    def find_place(self, workspace: str, number: int) -> bytes:
        """Return what orders the keepers: another order at each box."""
        text = f"{self.box}/{workspace}/{number}".encode()
        return blake2b(text, digest_size=8).digest()

    def ask_one(self, seat: Seat, message: AskQuota) -> QuotaAnswered | None:
        """Return what one keeper says, None when it says nothing."""
        try:
            return self.client.ask(
                seat.address, QUOTA_PATH, message, QuotaAnswered, ANSWER_TIMEOUT
            )
        except HolderUnavailableError as error:
            self.fanout.note_late(seat)
            self.silent_until[seat.disk] = time.monotonic() + SILENT_SECONDS
            log.info("Keeper is silent.", extra={"box": seat.box, "why": str(error)})
            return None


def remember(kept: OrderedDict, key: object, value: object) -> None:
    """Keep a value; forget the one that was used longest ago beyond the most."""
    kept[key] = value
    kept.move_to_end(key)
    if len(kept) > MOST_REMEMBERED:
        kept.popitem(last=False)
