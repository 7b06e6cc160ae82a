"""A back end that works, refuses, breaks off and hangs, as its seed says."""

from __future__ import annotations

import random
import time
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from experiments.soak.records import Run
from standins.raw_target import (
    LAST_CHUNK,
    RawTarget,
    answer,
    chunk,
    event,
    refusal,
    reset,
    stream_head,
)

if TYPE_CHECKING:
    import socket

    from experiments.soak.records import Records
    from standins.raw_target import RawRequest

PLAIN: Final = "plain"
MODEL: Final = "model"
EVENT_TOKENS: Final = 3
MOST_EVENTS: Final = 4
MOST_WORK_SECONDS: Final = 0.06
EVENT_SECONDS: Final = 0.01
HANG_SECONDS: Final = 2.5
SLOW_SECONDS: Final = 1.5


class Manner(StrEnum):
    """How a back end treats a request."""

    WELL = "well"
    REFUSE = "refuse"
    RESET = "reset"
    BREAK_OFF = "break_off"
    HANG = "hang"
    SURPLUS = "surplus"
    SLOW = "slow"


# Of a hundred requests.
SHARES: Final = {
    Manner.WELL: 86,
    Manner.REFUSE: 5,
    Manner.RESET: 3,
    Manner.BREAK_OFF: 3,
    Manner.HANG: 1,
    Manner.SURPLUS: 2,
}
# Every request is answered whole.
SOUND_SHARES: Final = {Manner.WELL: 92, Manner.SLOW: 8}
UNSOUND: Final = frozenset((Manner.RESET, Manner.BREAK_OFF, Manner.HANG))


class BackEnd:
    """One target; every run is recorded before any of its work is done."""

    def __init__(
        self,
        name: str,
        service: str,
        seed: int,
        records: Records,
        shares: dict[Manner, int] = SHARES,
    ) -> None:
        self.name = name
        self.service = service
        self.seed = seed
        self.records = records
        self.shares = shares
        self.target = RawTarget(self.serve)

    def serve(self, request: RawRequest, connection: socket.socket) -> None:
        """Answer one request, in the manner drawn for it."""
        call_id = request.header("Attempt-Id") or ""
        chance = random.Random(f"{self.seed} {self.name} {call_id}")
        manner = chance.choices(list(self.shares), list(self.shares.values()))[0]
        if manner is Manner.REFUSE:
            connection.sendall(refusal(request))
            return
        events = self.make_events(call_id, chance)
        produced = b"".join(events)
        workspace = request.header("Tenant") or ""
        self.records.add_run(
            Run(
                call_id,
                self.name,
                request.body,
                produced,
                workspace,
                time.monotonic(),
                manner not in UNSOUND,
                self.service == MODEL,
            )
        )
        try:
            self.work(request, connection, events, manner, chance)
        finally:
            self.records.end_run(call_id, self.name)

    def work(
        self,
        request: RawRequest,
        connection: socket.socket,
        events: list[bytes],
        manner: Manner,
        chance: random.Random,
    ) -> None:
        """Do the work of one run."""
        time.sleep(chance.uniform(0.0, MOST_WORK_SECONDS))
        if manner is Manner.HANG:
            request.closed.wait(HANG_SECONDS)
        if manner in (Manner.HANG, Manner.RESET):
            reset(connection)
            return
        if self.service == MODEL:
            self.stream(request, connection, events, manner)
        else:
            self.reply(request, connection, b"".join(events), manner)

    def make_events(self, call_id: str, chance: random.Random) -> list[bytes]:
        """Return what a run makes: pieces that no other run makes."""
        count = chance.randint(1, MOST_EVENTS)
        words = [f"{call_id}-{self.name}-{n}".encode() for n in range(count)]
        return [event(number, word) for number, word in enumerate(words)]

    def stream(
        self,
        request: RawRequest,
        connection: socket.socket,
        events: list[bytes],
        manner: Manner,
    ) -> None:
        """Send events one by one."""
        pause = SLOW_SECONDS / len(events) if manner is Manner.SLOW else EVENT_SECONDS
        connection.sendall(stream_head(request))
        for number, made in enumerate(events):
            if manner is Manner.BREAK_OFF and number == len(events) - 1:
                connection.sendall(chunk(made)[:-7])
                reset(connection)
                return
            connection.sendall(chunk(made))
            time.sleep(pause)
        connection.sendall(LAST_CHUNK)
        if manner is Manner.SURPLUS:
            connection.sendall(b"more than an answer")

    def reply(
        self,
        request: RawRequest,
        connection: socket.socket,
        body: bytes,
        manner: Manner,
    ) -> None:
        """Send one body."""
        if manner is Manner.SLOW:
            time.sleep(SLOW_SECONDS)
        whole = answer(request, body)
        if manner is Manner.BREAK_OFF:
            connection.sendall(whole[:-5])
            reset(connection)
            return
        connection.sendall(whole)
        if manner is Manner.SURPLUS:
            connection.sendall(answer(request, b"once more"))
