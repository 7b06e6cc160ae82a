"""Starts boxes again that ended, and judges how they ended."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

from experiments.soak.soak_site import STARTED
from experiments.soak.startup import can_be_reached

if TYPE_CHECKING:
    from experiments.process import Process
    from experiments.soak.soak_site import SoakSite

RESTART_SECONDS: Final = 0.3
LOOK_SECONDS: Final = 0.05
# A thread that wakes up this much later stood still, the callers' threads as well.
STALL_SECONDS: Final = 0.1
STALLED: Final = "times the playing process stood still"
# What the results call a process that a signal ended before anyone could reach it.
ENDED_EARLY: Final = "processes ended before they could be reached"


class Supervisor:
    """Looks at every box; one that ended is started again after a short delay.

    Attributes
    ----------
    locks : dict of str to Lock
        Held by whoever keeps a box from being started again.
    logged : dict of str to int
        Bytes that the log of a box had at its last start.
    asked, killed : dict of str to set of int
        Starts of a box that were asked to stop, or killed.
    early : dict of str to set of int
        Starts of a box that were sent a signal before anyone could reach them.
    """

    def __init__(self, site: SoakSite, names: list[str]) -> None:
        self.site = site
        self.names = names
        self.locks = {name: threading.Lock() for name in names}
        self.logged = dict.fromkeys(names, 0)
        self.ended_at: dict[str, float] = {}
        self.asked: dict[str, set[int]] = {name: set() for name in names}
        self.killed: dict[str, set[int]] = {name: set() for name in names}
        self.early: dict[str, set[int]] = {name: set() for name in names}
        self.failures: list[str] = []
        self.figures: Counter[str] = Counter()
        self.going = True
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Look after all boxes until told to stop."""
        while self.going:
            for name in list(self.names):
                if self.locks[name].acquire(blocking=False):
                    try:
                        self.look(name)
                    finally:
                        self.locks[name].release()
            began = time.monotonic()
            time.sleep(LOOK_SECONDS)
            if time.monotonic() - began > LOOK_SECONDS + STALL_SECONDS:
                self.figures[STALLED] += 1

    def watch(self, name: str) -> None:
        """Look after one more box, which has been started."""
        self.logged[name] = 0
        self.asked[name], self.killed[name], self.early[name] = set(), set(), set()
        self.locks[name] = threading.Lock()
        self.names.append(name)

    def close(self) -> None:
        """Start nothing any more."""
        self.going = False
        self.thread.join()

    def look(self, name: str) -> None:
        """Judge a box that has ended, and start it again once it is time."""
        process = self.site.nodes.processes[name]
        if process.is_running:
            return
        now = time.monotonic()
        if name not in self.ended_at:
            self.ended_at[name] = now
            self.judge_end(name, process)
        if now < self.ended_at[name] + RESTART_SECONDS:
            return
        del self.ended_at[name]
        self.logged[name] = process.log_path.stat().st_size
        self.site.records.contact.note_start(name)
        process.start()

    def judge_end(self, name: str, process: Process) -> None:
        """Note an end that no one asked for, or with another exit code than 0."""
        start, code = process.starts, process.wait()
        if start in self.killed[name]:
            return
        if code == 0 and start in self.asked[name]:
            return
        if code < 0 and start in self.early[name]:
            self.figures[ENDED_EARLY] += 1
            return
        started = "after" if self.has_started(name) else "before"
        asked = "asked to" if start in self.asked[name] else "unasked"
        self.failures.append(
            f"STOP {name} ended with {code}, {asked}, {started} it had started, "
            f"as its start {start}"
        )

    def has_started(self, name: str) -> bool:
        """Whether a box has told that it runs, since its last start."""
        log = self.site.nodes.processes[name].log_path.read_bytes()
        return STARTED.encode() in log[self.logged[name] :]

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a box, if it runs."""
        process = self.site.nodes.processes[name]
        if process.popen is None or not process.is_running:
            return
        if number == signal.SIGTERM:
            self.asked[name].add(process.starts)
            self.site.records.contact.note_stop(name)
        if number == signal.SIGKILL:
            self.killed[name].add(process.starts)
        elif not can_be_reached(process.pid):
            self.early[name].add(process.starts)
        process.popen.send_signal(number)
