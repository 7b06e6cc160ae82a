"""Real boxes before targets that crash and are replaced."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from experiments.node_site import NodeSite
from experiments.soak.back_end import MODEL, PLAIN
from experiments.soak.soak_site import make_route
from standins.ending import Ending
from standins.endless_answers import PLAIN_SHAPES
from standins.mortal_target import MortalTarget
from standins.raw_target import LAST_CHUNK, answer, chunk, event, stream_head

if TYPE_CHECKING:
    import socket

    from standins.raw_target import RawRequest

DOMAINS: Final = "abc"
HOLDERS: Final = 3
TARGETS: Final = 8
FATAL: Final = b"fatal"
RUN_SECONDS: Final = 0.02
# A target that crashed is replaced after the one, and its entry goes after the other.
REPLACE_SECONDS: Final = 0.5
LAPSE_SECONDS: Final = 2.0
# A target that leaves goes on serving for this long.
DRAIN_SECONDS: Final = 1.5
# Share of plain requests that get bytes without end instead of an answer, and what of
# these no box passes on.
ENDLESS_SHARE: Final = 0.005
ENDLESS: Final = [
    send for name, send in PLAIN_SHAPES.items() if name not in ("chunks", "to_close")
]
ROUTES: Final = [
    make_route("/again/", "idempotent", PLAIN, MaxAttempts=3),
    make_route("/turn/", "streaming", MODEL, Retained=True, RetentionS=600.0),
]


class CrashSite:
    """Entries in three failure domains, three holders and two services.

    Attributes
    ----------
    targets : dict of str to list of MortalTarget
        Those of each service that run, by service.
    sent_at : dict of bytes to list of float
        When each fatal body reached a target.
    ends : Counter of bytes
        Targets that ended while they ran each body.
    """

    def __init__(self, folder: Path, entries: int, seed: int) -> None:
        self.chance = random.Random(f"{seed} targets")
        self.nodes = NodeSite(folder)
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.targets: dict[str, list[MortalTarget]] = {PLAIN: [], MODEL: []}
        self.sent_at: dict[bytes, list[float]] = {}
        self.ends: Counter[bytes] = Counter()
        self.numbers = itertools.count()
        self.lock = threading.Lock()
        self.is_stopped = False

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.nodes.start_store()
        for number in range(HOLDERS):
            self.nodes.start_holder(f"holder-{number}", DOMAINS[number])
        for number, name in enumerate(self.entries):
            self.nodes.start_entry(name, DOMAINS[number % len(DOMAINS)])
        self.nodes.configure(ROUTES)
        for service in self.targets:
            for _ in range(TARGETS):
                self.add_target(service)
        self.nodes.wait_ready()
        self.nodes.wait_held(HOLDERS)

    def stop(self) -> None:
        """End every process and target of this site."""
        self.is_stopped = True
        self.nodes.stop()
        for target in itertools.chain(*self.targets.values()):
            target.close()

    def add_target(self, service: str) -> None:
        """Start a target and register it."""
        script = stream if service == MODEL else self.respond
        ending = self.chance.choice(list(Ending))
        target = MortalTarget(script, self.is_fatal, ending)
        target.id = f"{service}-{next(self.numbers)}"
        self.targets[service].append(target)
        self.nodes.add_target(target.id, service, target.address)
        threading.Thread(
            target=self.replace_when_ended, args=(target, service), daemon=True
        ).start()

    def respond(self, request: RawRequest, connection: socket.socket) -> None:
        """Answer a plain request, or send bytes without end."""
        with self.lock:
            is_endless = self.chance.random() < ENDLESS_SHARE
            send = self.chance.choice(ENDLESS)
        if is_endless:
            send(request, connection)
        respond(request, connection)

    def is_fatal(self, request: RawRequest) -> bool:
        """Record a request that is fatal; return whether it is."""
        if FATAL not in request.body:
            return False
        with self.lock:
            self.sent_at.setdefault(request.body, []).append(time.monotonic())
        return True

    def replace_when_ended(self, target: MortalTarget, service: str) -> None:
        """Start another target in the place of one that ended."""
        target.ended.wait()
        self.targets[service].remove(target)
        with self.lock:
            self.ends.update(request.body for request in target.under_way)
            unread = (data.rpartition(b"\r\n\r\n")[2] for data in target.unread)
            self.ends.update(body for body in unread if body)
        time.sleep(REPLACE_SECONDS)
        if self.is_stopped:
            return
        self.add_target(service)
        time.sleep(LAPSE_SECONDS)
        if not self.is_stopped:
            self.nodes.remove(f"servers/{target.id}")

    def release(self, target: MortalTarget, service: str) -> None:
        """Have a target leave as planned."""
        self.nodes.write_target(target.id, service, target.address, "draining")
        time.sleep(DRAIN_SECONDS)
        target.end()

    def read_peak_mb(self, entry: str) -> float:
        """Return the most memory that an entry used since its start."""
        popen = self.nodes.processes[entry].popen
        status = Path(f"/proc/{popen.pid}/status").read_text()
        line = next(each for each in status.split("\n") if each.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def read_logs(self) -> str:
        """Return what all entries wrote."""
        return "".join(self.nodes.processes[name].read_log() for name in self.entries)


def respond(request: RawRequest, connection: socket.socket) -> None:
    """Answer a plain request."""
    time.sleep(RUN_SECONDS)
    connection.sendall(answer(request))


def stream(request: RawRequest, connection: socket.socket) -> None:
    """Answer a turn with two events."""
    connection.sendall(stream_head(request))
    for number in range(2):
        time.sleep(RUN_SECONDS / 2)
        connection.sendall(chunk(event(number, b"word")))
    connection.sendall(LAST_CHUNK)


def describe_route(service: str, program: str) -> dict[str, Any]:
    """Return the path and the headers of a request of a service."""
    if service == PLAIN:
        return {"path": b"/again/x", "headers": b""}
    headers = f"Program-Id: {program}\r\nToken-Count: 100,30\r\n"
    return {"path": b"/turn/x", "headers": headers.encode()}
