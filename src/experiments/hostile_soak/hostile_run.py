"""One run of a seed: crowds at all ports beside faults, then the check."""

from __future__ import annotations

import random
import signal
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

from experiments.hostile_soak.kept_program import KeptProgram
from experiments.node_site import NodeSite
from experiments.soak.back_end import PLAIN
from experiments.soak.soak_site import make_route
from standins import hostile_callers as shapes
from standins.hostile_callers import HostileCrowd
from standins.raw_target import LAST_CHUNK, RawTarget, answer, chunk, event, stream_head

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterator

    from standins.raw_target import RawRequest

# The smallest machine; a process that exceeds it would be killed.
MAX_BOX_MB: Final = 150
ENTRIES: Final = ("entry-1", "entry-2")
HOLDERS: Final = ("holder-1", "holder-2", "holder-3")
FAULT_RATE: Final = 0.7
MAX_FAULT_SECONDS: Final = 2.0
CROWD_SECONDS: Final = (1.0, 4.0)
READY_SECONDS: Final = 30.0
CALLER_SHAPES: Final[dict[str, tuple[Callable[[int], Iterator[bytes]], int]]] = {
    "short lines": (shapes.send_short_lines, 100),
    "open heads": (shapes.send_open_head, 100),
    "bodies": (shapes.send_length, 30),
    "large chunks": (shapes.send_large_chunks, 30),
    "small chunks": (shapes.send_small_chunks, 6),
    "requests": (shapes.send_requests, 4),
    "bodies in a row": (shapes.send_bodies, 3),
    "trailers": (shapes.send_trailers, 3),
    "nothing": (shapes.send_nothing, 200),
}
PAGE_SHAPES: Final = {
    "page heads": (shapes.send_page_head, 100),
    "page bodies": (shapes.send_page_body, 8),
    "nothing": (shapes.send_nothing, 100),
}
ROUTES: Final = [
    make_route("/again/", "idempotent", PLAIN),
    make_route("/turn/", "streaming", "model", Retained=True, RetentionS=120.0),
]
LIMITS: Final = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 4_000_000,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15_000,
}


@dataclass
class HostileSoakResult:
    """How one run ended.

    Attributes
    ----------
    turns : int
        Turns that were answered whole; all of them were known at the end.
    peak_mb : float
        The most that a process used.
    """

    seed: int
    crowds: int = 0
    faults: int = 0
    turns: int = 0
    peak_mb: float = 0.0
    broken: list[str] = field(default_factory=list)


class HostileRun:
    """Plays crowds and faults, drawn from a seed; a box suffers one fault at once."""

    def __init__(self, seed: int, site: NodeSite) -> None:
        self.site = site
        self.chance = random.Random(f"{seed} hostile")
        self.result = HostileSoakResult(seed)
        self.disturbed: set[str] = set()
        self.threads: list[threading.Thread] = []
        self.targets: list[RawTarget] = []
        self.log_sizes: dict[str, int] = {}

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.site.start_store()
        for name, domain in zip(HOLDERS, "abc", strict=True):
            self.site.start_holder(name, domain)
        for name, domain in zip(ENTRIES, "ab", strict=True):
            self.site.start_entry(name, domain)
        self.site.configure(ROUTES, **LIMITS)
        for service, script in ((PLAIN, respond), ("model", respond_turn)):
            target = RawTarget(script)
            target.id = f"{service}-0"
            self.site.add_target(target.id, service, target.address)
            self.targets.append(target)
        self.site.wait_ready()
        self.site.wait_held(len(HOLDERS))

    def play(self, seconds: float) -> None:
        """Play for a while, then check once all is over."""
        programs = [KeptProgram(self.site, name) for name in ENTRIES]
        for program in programs:
            program.thread.start()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.spawn(self.play_crowd)
            if self.chance.random() < FAULT_RATE:
                self.spawn(self.play_fault)
            time.sleep(self.chance.uniform(0.3, 1.5))
            self.read_memory()
        for thread in self.threads:
            thread.join()
        self.check(programs)

    def spawn(self, play: Callable[[random.Random], None]) -> None:
        """Play something beside the rest, with luck of its own."""
        chance = random.Random(self.chance.random())
        thread = threading.Thread(target=play, args=(chance,))
        thread.start()
        self.threads.append(thread)

    def play_crowd(self, chance: random.Random) -> None:
        """Have a crowd at one port for a while."""
        name = chance.choice((*ENTRIES, *HOLDERS))
        address, known = self.site.peers[name], PAGE_SHAPES
        if name in ENTRIES:
            doors = (self.site.callers, self.site.callers, self.site.directory)
            door = chance.choice((*doors, self.site.ready, self.site.peers))
            address = door[name]
            known = CALLER_SHAPES if door is self.site.callers else PAGE_SHAPES
        send, count = known[chance.choice(sorted(known))]
        self.result.crowds += 1
        with HostileCrowd(address, send) as crowd:
            crowd.start(count)
            time.sleep(chance.uniform(*CROWD_SECONDS))

    def play_fault(self, chance: random.Random) -> None:
        """Kill, freeze or stop a box, or have the store away; one holder at most."""
        name = chance.choice((*ENTRIES, chance.choice(HOLDERS), "store"))
        role = "holder" if name in HOLDERS else name
        if role in self.disturbed:
            return
        self.disturbed.add(role)
        self.result.faults += 1
        seconds = chance.uniform(0.0, MAX_FAULT_SECONDS)
        if name == "store":
            self.site.switch_store(down=True)
            time.sleep(seconds)
            self.site.switch_store(down=False)
        else:
            fault = chance.choice((self.kill, self.freeze, self.stop))
            fault(name, seconds)
        self.disturbed.discard(role)

    def kill(self, name: str, seconds: float) -> None:
        """Kill a box and start it again."""
        self.read_memory()
        self.site.kill(name)
        time.sleep(seconds)
        self.restart(name)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a box for a while."""
        self.site.processes[name].pause()
        time.sleep(seconds)
        self.site.processes[name].resume()

    def stop(self, name: str, seconds: float) -> None:
        """Stop a box as planned; a crowd must not keep it from ending.

        An interpreter that has not read a line of the program yet ends by the signal.
        """
        del seconds
        self.read_memory()
        process = self.site.processes[name]
        process.terminate()
        code = process.wait()
        has_begun = len(process.read_log()) > self.log_sizes.get(name, 0)
        if code and (code != -signal.SIGTERM or has_begun):
            self.result.broken.append(f"STOP {name} ended with {code}")
        self.restart(name)

    def restart(self, name: str) -> None:
        """Start a box again, and note how long its log is before."""
        self.log_sizes[name] = len(self.site.processes[name].read_log())
        self.site.restart(name)

    def read_memory(self) -> None:
        """Take in the most that each box has used, and whether it lives."""
        for name in (*ENTRIES, *HOLDERS):
            process = self.site.processes[name]
            role = "holder" if name in HOLDERS else name
            if role in self.disturbed:
                continue
            if not process.is_running:
                if role not in self.disturbed:
                    self.result.broken.append(f"DEAD {name}")
                continue
            self.note_memory(name, process.pid)

    def note_memory(self, name: str, pid: int) -> None:
        """Take in the most that one box has used."""
        try:
            status = Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return  # It is ended by a fault right now.
        peaks = [line for line in status.split("\n") if line.startswith("VmHWM")]
        used = max((int(line.split()[1]) / 1024 for line in peaks), default=0.0)
        self.result.peak_mb = max(self.result.peak_mb, used)
        if used >= MAX_BOX_MB:
            self.result.broken.append(f"MEMORY {name} {used:.0f} MB")

    def check(self, programs: list[KeptProgram]) -> None:
        """Find boxes that don't serve any more, and turns that are forgotten."""
        self.read_memory()
        for name in ENTRIES:
            for door, path in (
                (self.site.ready, "/readyz"),
                (self.site.peers, "/metrics"),
            ):
                if not self.is_served(door[name], path):
                    self.result.broken.append(f"SILENT {name} at {path}")
            if not self.is_served(self.site.directory[name], "/resolve"):
                self.result.broken.append(f"SILENT {name} at /resolve")
        for program in programs:
            program.finish()
            self.result.turns += program.answered
            self.result.broken += program.broken

    def is_served(self, address: str, path: str) -> bool:
        """Return whether a page is served before long."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            if self.site.answers(address, path):
                return True
            time.sleep(0.2)
        return False


def respond(request: RawRequest, connection: socket.socket) -> None:
    """Answer a plain call; one kind is never answered."""
    if b"/hang" in request.line:
        request.closed.wait(15)
        return
    connection.sendall(answer(request))


def respond_turn(request: RawRequest, connection: socket.socket) -> None:
    """Answer a turn with one event."""
    connection.sendall(stream_head(request) + chunk(event(0, b"one")) + LAST_CHUNK)


def play_seed(seed: int, seconds: float, folder: Path) -> HostileSoakResult:
    """Play a seed on a site of its own."""
    with NodeSite(folder) as site:
        site.max_connections = 400
        run = HostileRun(seed, site)
        run.start()
        run.play(seconds)
        return run.result
