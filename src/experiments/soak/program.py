"""Callers that run programs one after another, as the users' callers do."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from experiments.raw_caller import build_request
from experiments.soak.back_end import EVENT_TOKENS, MOST_EVENTS
from experiments.soak.counting_caller import CountingCaller
from experiments.soak.ending import Ending, How
from experiments.soak.records import Kind, Try
from experiments.soak.workspaces import (
    LIMITED_KEY,
    LIMITED_SHARE,
    MAIN_KEY,
    PASSING_SHARE,
)

if TYPE_CHECKING:
    from experiments.soak.records import Records
    from experiments.soak.soak_site import SoakSite

OK: Final = 200
NO_KEY: Final = 401
MOST_TOKENS: Final = EVENT_TOKENS * MOST_EVENTS
AMPLE_BUDGET: Final = 10_000
SMALL_BUDGET: Final = 40
SMALL_BUDGET_SHARE: Final = 0.3
MOST_TURNS: Final = 6
MOST_TOOLS: Final = 2
# A caller gives up a try after this long.
PATIENCE_SECONDS: Final = 4.0
TRIES: Final = 3
# One more than the users allow a kept turn to be turned away.
TURN_TRIES: Final = 6
PAUSE_SECONDS: Final = 0.15
# A program that goes on from a turn of another leaves that one's chain intact.
BRANCH_SHARE: Final = 0.15
# These promise that the call has not run: what may not repeat may be sent again.
PROMISES: Final = frozenset((408, 421, 429, 503))
PATHS: Final = {Kind.ONCE: b"/once/x", Kind.AGAIN: b"/again/x", Kind.TURN: b"/turn/x"}


class ProgramCaller:
    """One caller, with a connection that it keeps while it can."""

    def __init__(self, number: int, seed: int, site: SoakSite) -> None:
        self.name = f"c{number}"
        self.chance = random.Random(f"{seed} caller {number}")
        # Drawn apart: what a seed does to programs stays as it was.
        self.key_chance = random.Random(f"{seed} keys {number}")
        self.site = site
        self.records: Records = site.records
        self.caller: CountingCaller | None = None
        self.count = 0
        self.programs = 0
        self.finished = 0
        self.answered_turns = 0
        self.going = True
        self.failures: list[str] = []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Work until it is done; what ends it sooner is a failure."""
        try:
            self.work()
        except Exception as error:  # Reported with the run.
            self.failures.append(f"CALLER {self.name} stopped: {error!r}")
        self.leave()

    def work(self) -> None:
        """Run programs until told to stop."""
        while self.going:
            if self.run_program():
                self.finished += 1

    def run_program(self) -> bool:
        """Run one program; return whether all of its turns were answered."""
        self.programs += 1
        program = f"{self.name}p{self.programs}"
        is_small = self.chance.random() < SMALL_BUDGET_SHARE
        budget = SMALL_BUDGET if is_small else AMPLE_BUDGET
        self.records.add_program(program, budget)
        previous = ""
        for _ in range(self.chance.randint(1, MOST_TURNS)):
            tried = self.take_turn(program, budget, previous)
            if tried is None:
                return False
            if self.chance.random() >= BRANCH_SHARE:
                previous = tried.id
            for _ in range(self.chance.randint(0, MOST_TOOLS)):
                self.use_tool()
        return True

    def take_turn(self, program: str, budget: int, previous: str) -> Try | None:
        """Return the turn once it was answered; None when it was given up."""
        turn = ""
        for _ in range(TURN_TRIES):
            tried = self.send(Kind.TURN, program, budget, previous, turn)
            turn = turn or tried.id
            if tried.status == OK:
                self.answered_turns += 1
                return tried
            if tried.status in (402, 404):
                return None
            time.sleep(PAUSE_SECONDS)
        return None

    def use_tool(self) -> None:
        """Send one plain call, again where that is allowed."""
        kind = self.chance.choice((Kind.ONCE, Kind.AGAIN))
        for _ in range(TRIES):
            tried = self.send(kind)
            if tried.status == OK:
                return
            if kind is Kind.ONCE and tried.status not in PROMISES:
                return
            if tried.status == NO_KEY:
                return
            time.sleep(PAUSE_SECONDS)

    def send(
        self,
        kind: Kind,
        program: str = "",
        budget: int = 0,
        previous: str = "",
        turn: str = "",
    ) -> Try:
        """Send one try and record how it ended."""
        self.pause()
        self.count += 1
        call_id = f"{self.name}t{self.count}"
        body = f"<{call_id} {self.chance.getrandbits(64):x}>".encode()
        key = MAIN_KEY if program else self.draw_key()
        headers = f"Authorization: Token {key}\r\n".encode()
        if program:
            headers += make_headers(program, budget, previous)
        milliseconds = int(PATIENCE_SECONDS * 1000)
        data = build_request(
            PATHS[kind], call_id.encode(), body, headers=headers, patience=milliseconds
        )
        sent_at = time.monotonic()
        status, answer, events, ending = self.exchange(data)
        tokens = events * EVENT_TOKENS if kind is Kind.TURN else 0
        tried = Try(
            call_id,
            kind,
            body,
            status,
            answer,
            program,
            previous,
            tokens,
            key,
            sent_at,
            ending,
            turn or call_id,
        )
        self.records.add_try(tried)
        return tried

    def pause(self) -> None:
        """Wait before the next request: not at all."""

    def draw_key(self) -> str:
        """Return the key of a plain call."""
        drawn = self.key_chance.random()
        if drawn < PASSING_SHARE:
            return self.records.passing.draw(self.key_chance)
        return LIMITED_KEY if drawn < PASSING_SHARE + LIMITED_SHARE else MAIN_KEY

    def exchange(self, data: bytes) -> tuple[int | None, bytes, int, Ending | None]:
        """Return status, body, events and end of an answer.

        There is no status if it is not whole, and no end without a connection.
        """
        caller = self.connect()
        if caller is None:
            return None, b"", 0, None
        was_closed = caller.is_closed
        idle_seconds = time.monotonic() - caller.idle_since
        caller.start_request()
        status, headers, body = None, {}, b""
        sent_at, send_seconds = None, 0.0
        began_at = time.monotonic()
        try:
            caller.send(data)
            sent_at = time.monotonic()
            send_seconds = sent_at - began_at
            status, headers, body = caller.read_answer()
            how = How.ANSWERED
        except (OSError, AssertionError, ValueError, IndexError) as error:
            how = tell_end(error)
        caller.idle_since = now = time.monotonic()
        ending = Ending(
            caller.address,
            caller.requests - 1,
            sent_at,
            now,
            how,
            len(caller.seen),
            was_closed,
            self.site.is_direct,
            idle_seconds,
            send_seconds,
        )
        if how is not How.ANSWERED or headers.get("connection") == "close":
            self.leave()
        return status, body, caller.event_count, ending

    def connect(self) -> CountingCaller | None:
        """Return the open connection, or a new one where an entry says."""
        if self.caller is not None:
            return self.caller
        addresses = self.site.ask_entry(self.chance)
        if not addresses:
            time.sleep(PAUSE_SECONDS)
            return None
        try:
            address = self.chance.choice(addresses)
            self.caller = CountingCaller(address, PATIENCE_SECONDS)
        except OSError:
            return None
        return self.caller

    def leave(self) -> None:
        """Close the connection."""
        if self.caller is not None:
            self.caller.sock.close()
            self.caller = None


def tell_end(error: Exception) -> How:
    """Return how a request ended whose answer could not be read."""
    if isinstance(error, TimeoutError):
        return How.GIVEN_UP
    return How.RESET if isinstance(error, OSError) else How.CLOSED


def make_headers(program: str, budget: int, previous: str) -> bytes:
    """Return the header lines of a turn."""
    fields: dict[str, Any] = {
        "Program-Id": program,
        "Token-Count": f"100,{MOST_TOKENS}",
        "Token-Budget": budget,
    }
    if previous:
        fields["Previous-Turn"] = previous
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    return "".join(lines).encode()
