"""Finds holders that have a seat and are gone."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.fleet.box_entry import Role
from cedarchute.turns.answer_timeout import AnswerTimeout
from cedarchute.turns.holder_client import (
    DEFAULT_TIMEOUT,
    HolderRefusedError,
    HolderUnavailableError,
)
from cedarchute.turns.messages import Account, ReadAccount

if TYPE_CHECKING:
    from collections.abc import Collection

    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.turns.holder_client import HolderClient
    from cedarchute.turns.seat import Seat
    from cedarchute.turns.seat_table import SeatTable

log = logging.getLogger("cedarchute.turns")

# A holder without a directory entry for this long is not just restarting.
ABSENT_TIMEOUT_SECONDS: Final = 2.5
# The same for one that a joining box finds unreachable. Short, since the next disk may
# be lost soon after a successor has started; taking the seat of a holder that only
# restarts costs no more than a copy.
JOINING_TIMEOUT_SECONDS: Final = 1.0
# A box whose predecessor is gone finds it unreachable within this.
JOINING_SECONDS: Final = 10.0
PROBE_TIMEOUT: Final = AnswerTimeout(0.5, 0.5)


class AbsentHolders:
    """Tracks since when holders with a seat are absent.

    A holder is absent if the directory has no entry of it. A box that has just joined
    most likely replaces one that is gone; it asks the holders instead of waiting until
    the lease of the other has run out.

    Parameters
    ----------
    is_joining : bool
        Whether this box has not had a seat yet.
    """

    def __init__(
        self, directory: BoxDirectory, client: HolderClient, is_joining: bool = False
    ) -> None:
        self.directory = directory
        self.client = client
        self.is_joining = is_joining
        self.joined_at: float | None = None
        self.since: dict[str, float] = {}
        self.silent: set[str] = set()
        self.answering: set[str] = set()

    def find_gone(self, table: SeatTable, among: Collection[int]) -> int | None:
        """Return one of some seats whose holder is gone, the one absent longest first.

        A directory entry can be missing although the holder is up, so the holder is
        asked before its seat is taken.
        """
        is_probing = self.is_within_joining(time.monotonic())
        known = set(self.since)
        self.update(table, is_probing)
        if is_probing and len(self.silent) > table.losses:
            # This box is cut off, and could not fill a seat.
            return None
        # The time that probes of silent holders take counts as well. A holder has to
        # fail in two rounds, since this process may have stood still in one.
        now = time.monotonic()
        timeout = JOINING_TIMEOUT_SECONDS if is_probing else ABSENT_TIMEOUT_SECONDS
        for box, since in sorted(self.since.items(), key=lambda item: item[1]):
            number = table.find_box(box)
            if box not in known or now - since < timeout or number not in among:
                continue
            seat = table.seats[number]
            if box in self.silent if is_probing else self.is_unreachable(seat):
                seconds = round(now - since, 3)
                facts = {"box": box, "seconds": seconds, "probed": is_probing}
                log.info("Holder is unreachable.", extra=facts)
                return number
            self.since[box] = now
            self.answering.add(box)
        return None

    def may_be_gone(self, table: SeatTable) -> bool:
        """Whether `find_gone` may soon find a holder, as far as it knows so far.

        With more of them than may be lost this box is cut off. A holder that answers
        is there, whatever the directory has of it.
        """
        if self.is_within_joining(time.monotonic()):
            suspects = self.silent
        else:
            suspects = self.since.keys() - self.answering
        return 0 < len(suspects) <= table.losses

    def is_within_joining(self, now: float) -> bool:
        """Whether this box has joined a moment ago."""
        if not self.is_joining:
            return False
        self.joined_at = self.joined_at or now
        return now - self.joined_at < JOINING_SECONDS

    def update(self, table: SeatTable, is_probing: bool = False) -> None:
        """Update since when each holder with a seat is absent."""
        now = time.monotonic()
        boxes = {seat.box for seat in table.seats if not seat.is_vacant}
        absent = boxes - {box.name for box in self.directory.list_boxes(Role.HOLDER)}
        if is_probing:
            self.silent = self.list_silent(table)
            absent |= self.silent
        self.answering &= absent
        for box in self.since.keys() - absent:
            del self.since[box]
        for box in sorted(absent):
            self.since.setdefault(box, now)

    def list_silent(self, table: SeatTable) -> set[str]:
        """Ask all holders with a seat; return the boxes that give no answer."""
        seats = [seat for seat in table.seats if not seat.is_vacant]
        answers = eventlet.GreenPool().imap(
            lambda seat: self.is_unreachable(seat, PROBE_TIMEOUT), seats
        )
        return {seat.box for seat, silent in zip(seats, answers, strict=True) if silent}

    def is_unreachable(
        self, seat: Seat, timeout: AnswerTimeout = DEFAULT_TIMEOUT
    ) -> bool:
        """Return whether a holder gives no answer at all, not even a rejection.

        Asked under version 0 of the table, a holder always rejects.
        """
        message = ReadAccount(table_version=0, disk=seat.disk, program="")
        try:
            self.client.ask(seat.address, "/turns/account", message, Account, timeout)
        except HolderRefusedError as error:
            # Another box may have the address by now.
            return error.refusal.box not in ("", seat.box)
        except HolderUnavailableError:
            return True
        return False
