"""Plays leavings and faults beside the calls, several at a time."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING, Final

from experiments.leave_soak.disturbances import Disturbances

if TYPE_CHECKING:
    from collections.abc import Callable

    from experiments.leave_soak.leave_site import LeaveSite

STORE: Final = "store"
FAULT_RATE: Final = 1.0
LEAVE_RATE: Final = 0.8
MAX_FAULT_SECONDS: Final = 3.5
# A target that leaves serves for the users' bound and a while longer.
SERVE_SECONDS: Final = (2.5, 5.0)
# Share of targets that say that they leave; the entries of the others go.
SAYING_SHARE: Final = 0.7
MAX_STORE_DELAY_SECONDS: Final = 0.3


class FaultPlayer:
    """Draws what happens from a seed; no process suffers two faults at once."""

    def __init__(self, site: LeaveSite, seed: int) -> None:
        self.site = site
        self.chance = random.Random(f"{seed} faults")
        self.disturbances = Disturbances()
        self.count = 0
        self.threads: list[threading.Thread] = []
        self.faults: tuple[Callable[[float], None], ...] = (
            self.pause_target,
            self.pause_entry,
            self.pause_entry,
            self.kill_entry,
            self.restart_entry,
            self.stop_store,
            self.slow_store,
        )

    def play(self, seconds: float) -> None:
        """Play for a while; return once all faults are over."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            total = FAULT_RATE + LEAVE_RATE
            time.sleep(self.chance.expovariate(total))
            self.count += 1
            if self.chance.random() < LEAVE_RATE / total:
                self.spawn(self.leave, self.chance.uniform(*SERVE_SECONDS))
            else:
                fault = self.chance.choice(self.faults)
                self.spawn(fault, self.chance.uniform(0.0, MAX_FAULT_SECONDS))
        for thread in self.threads:
            thread.join()

    def spawn(self, fault: Callable[[float], None], seconds: float) -> None:
        """Play one fault beside the others."""
        thread = threading.Thread(target=fault, args=(seconds,))
        thread.start()
        self.threads.append(thread)

    def draw_free(self, names: list[str]) -> str | None:
        """Return a process that is not disturbed; None if too many are."""
        free = [n for n in names if n not in self.disturbances.under_way]
        if len(free) <= len(names) // 2:
            return None
        return self.chance.choice(free)

    def leave(self, seconds: float) -> None:
        """Have a target leave, serve on and end; another one takes its place."""
        site = self.site
        if len(site.targets) < site.target_count:
            return
        target = site.targets.pop(self.chance.randrange(len(site.targets)))
        site.left.append(target)
        target.leave(says_so=self.chance.random() < SAYING_SHARE)
        site.add_target()
        time.sleep(seconds)
        while target.id in self.disturbances.under_way:
            time.sleep(0.1)
        site.nodes.remove(f"servers/{target.id}")
        target.process.kill()

    def pause_target(self, seconds: float) -> None:
        """Freeze a target, also one that has left."""
        running = [t for t in self.site.list_all() if t.process.is_running]
        name = self.draw_free([target.id for target in running])
        self.freeze(name, seconds)

    def pause_entry(self, seconds: float) -> None:
        """Freeze an entry."""
        self.freeze(self.draw_free(self.site.entries), seconds)

    def freeze(self, name: str | None, seconds: float) -> None:
        """Freeze a process for a while."""
        if name is None:
            return
        process = self.site.nodes.processes[name]
        with self.disturbances.record(name):
            process.pause()
            time.sleep(seconds)
            process.resume()

    def kill_entry(self, seconds: float) -> None:
        """Kill an entry and start it again."""
        name = self.draw_free(self.site.entries)
        if name is None:
            return
        with self.disturbances.record(name):
            self.site.nodes.kill(name)
            time.sleep(seconds)
            self.site.nodes.restart(name)

    def restart_entry(self, seconds: float) -> None:
        """Stop an entry as planned and start it again."""
        name = self.draw_free(self.site.entries)
        if name is None:
            return
        with self.disturbances.record(name):
            self.site.nodes.processes[name].terminate()
            self.site.nodes.processes[name].wait()
            self.site.nodes.restart(name)

    def stop_store(self, seconds: float) -> None:
        """Have the store turn every call away."""
        self.disturb_store({"down": True}, {"down": False}, seconds)

    def slow_store(self, seconds: float) -> None:
        """Have the store take its time."""
        delay = self.chance.uniform(0, MAX_STORE_DELAY_SECONDS)
        self.disturb_store({"delay": delay}, {"delay": 0.0}, seconds)

    def disturb_store(
        self, begin: dict[str, object], end: dict[str, object], seconds: float
    ) -> None:
        """Disturb the store for a while."""
        if STORE in self.disturbances.under_way:
            return
        with self.disturbances.record(STORE):
            self.site.nodes.switch_store(**begin)
            time.sleep(seconds)
            self.site.nodes.switch_store(**end)
