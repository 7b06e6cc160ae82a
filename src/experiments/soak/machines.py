"""The machines of a site whose set changes: they join, leave for good and come back."""

from __future__ import annotations

import signal
import threading
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from experiments.process import STOP_SECONDS
from experiments.soak.supervisor import Supervisor
from experiments.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.soak_site import SoakSite

# A machine counts as lost for this long after its start, by the required bound.
CATCH_UP_SECONDS: Final = 4.3
LOOK_SECONDS: Final = 0.1


class Machines:
    """Starts and ends the boxes of a site, with a supervisor that restarts them.

    Attributes
    ----------
    busy : set of str
        Machines that a step works on.
    """

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        self.supervisor = Supervisor(site, [])
        self.lock = threading.Lock()
        self.busy: set[str] = set()
        self.started = 0

    @property
    def names(self) -> list[str]:
        """The machines that have not left."""
        return [*self.site.entries, *self.site.holders]

    def begin(self) -> None:
        """Look after the machines that have been started with the site."""
        for name in self.names:
            self.supervisor.watch(name)
        self.supervisor.thread.start()

    def add(self, role: str, domain: str) -> str:
        """Start a machine with a name and an address of its own; return the name."""
        with self.lock:
            self.started += 1
            name = f"{role}-new-{self.started}"
        if role == "entry":
            self.site.add_entry(name, domain)
        else:
            self.site.add_holder(name, domain)
        self.supervisor.watch(name)
        return name

    @contextmanager
    def taken(self, names: list[str], pick: float) -> Iterator[str]:
        """Hold one of `names` that no other step works on; empty if there is none."""
        with self.lock:
            free = [name for name in names if name not in self.busy]
            name = free[int(pick * len(free))] if free else ""
            self.busy.add(name)
        try:
            yield name
        finally:
            self.busy.discard(name)

    def remove(self, name: str, is_stopped: bool) -> None:
        """End a machine for good, by SIGTERM or as by a loss of power.

        A machine without power says nothing, so its process stays, and stands still.
        """
        process = self.site.nodes.processes[name]
        with self.supervisor.locks[name]:
            was_running = process.is_running
            number = signal.SIGTERM if is_stopped else signal.SIGSTOP
            self.supervisor.send(name, number)
            code = process.wait() if is_stopped else None
            if is_stopped and was_running and code != 0:
                what = f"STOP {name} ended with {code} when it left for good"
                self.supervisor.failures.append(what)
            self.supervisor.names.remove(name)
            self.site.remove(name)

    def restart(self, name: str, number: signal.Signals, away: float) -> None:
        """End a machine and keep it away for some seconds; return once it serves."""
        process = self.site.nodes.processes[name]
        with self.supervisor.locks[name]:
            self.supervisor.send(name, number)
            process.wait()
            time.sleep(away)
        self.wait_serving([name])

    def kill(self, names: list[str], away: dict[str, float], wiped: str = "") -> None:
        """End machines at one moment, each away for some seconds, one without its disk.

        Returns once all of them serve again.
        """
        locks = [self.supervisor.locks[name] for name in names]
        for lock in locks:
            lock.acquire()
        there = [name for name in names if name in self.names]
        for name in there:
            self.supervisor.send(name, signal.SIGKILL)
        for name in there:
            self.site.nodes.processes[name].wait()
        if wiped:
            self.site.wipe(wiped)
        ended_at = time.monotonic()
        order = sorted(zip(names, locks, strict=True), key=lambda n: away.get(n[0], 0))
        for name, lock in order:
            wait = ended_at + away.get(name, 0.0) - time.monotonic()
            time.sleep(max(0.0, wait))
            lock.release()
        self.wait_serving(there)

    def wait_serving(self, names: list[str]) -> None:
        """Wait until machines serve, or have left."""
        for name in names:
            wait_until(lambda n=name: self.serves(n), f"{name} serves", STOP_SECONDS)

    def serves(self, name: str) -> bool:
        """Whether a machine serves, or has left."""
        if name not in self.names:
            return True
        if not self.site.nodes.processes[name].is_running:
            return False
        if name in self.site.entries:
            return self.site.nodes.answers(self.site.nodes.ready[name], "/readyz")
        return self.supervisor.has_started(name)

    def wait_calm(self) -> None:
        """Wait until no holder has started, left or come for as long as one counts."""
        starts, since = self.count_starts(), time.monotonic()
        deadline = since + STOP_SECONDS
        while time.monotonic() < min(since + CATCH_UP_SECONDS, deadline):
            time.sleep(LOOK_SECONDS)
            found = self.count_starts()
            is_whole = all(map(self.serves, self.site.holders))
            if found != starts or not is_whole:
                starts, since = found, time.monotonic()

    def count_starts(self) -> dict[str, int]:
        """Return how often each holder has been started."""
        processes = self.site.nodes.processes
        return {name: processes[name].starts for name in list(self.site.holders)}
