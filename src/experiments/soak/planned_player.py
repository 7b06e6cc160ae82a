"""Plays planned work, alone or beside losses that the site bears."""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING, Final

from experiments.process import STOP_SECONDS
from experiments.soak.soak_site import ENTRIES
from experiments.soak.step import Step, StepKind
from experiments.soak.supervisor import Supervisor
from experiments.waiting import wait_until

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from experiments.soak.soak_site import SoakSite

# A holder counts as lost for this long after its start, by the required bound.
CATCH_UP_SECONDS: Final = 4.3
READY_SECONDS: Final = 30.0


class PlannedPlayer:
    """Works on the boxes; leaves an entry and all holders but one in service.

    Attributes
    ----------
    entry_places, holder_place : Semaphore
        Taken for a box from its stop until it serves again.
    busy : set of str
        Boxes for which a place is taken.
    """

    def __init__(self, site: SoakSite, steps: list[Step], seconds: float) -> None:
        self.site = site
        self.steps = steps
        self.seconds = seconds
        self.ends_at = 0.0
        self.boxes = [*site.entries, *site.holders]
        self.supervisor = Supervisor(site, self.boxes)
        self.entry_places = threading.Semaphore(ENTRIES - 1)
        self.holder_place = threading.Semaphore(1)
        self.busy: set[str] = set()
        self.lock = threading.Lock()
        self.plays: dict[StepKind, Callable[[Step], None]] = {
            StepKind.RESTART_ENTRY: self.restart_entry,
            StepKind.RESTART_HOLDER: self.restart_holder,
            StepKind.HANG_UP: self.hang_up,
            StepKind.HANG_UP_ALL: self.hang_up_all,
            StepKind.CONFIGURE: self.configure,
            StepKind.KILL_ENTRY: self.kill_entry,
            StepKind.KILL_HOLDER: self.kill_holder,
            StepKind.KILL_ALL: self.kill_all,
            StepKind.WIPE: self.wipe,
            StepKind.WIPE_AND_KILL_ALL: self.wipe_and_kill_all,
        }

    @property
    def count(self) -> int:
        """How many steps are played."""
        return len(self.steps)

    @property
    def failures(self) -> list[str]:
        """What went wrong, a line each."""
        return self.supervisor.failures

    @property
    def figures(self) -> Counter[str]:
        """What is counted, and breaks no promise."""
        return self.supervisor.figures

    def play(self) -> None:
        """Play every step at its time; return once all are over."""
        self.supervisor.thread.start()
        started = time.monotonic()
        self.ends_at = started + self.seconds
        threads = []
        for step in self.steps:
            time.sleep(max(0.0, started + step.at - time.monotonic()))
            thread = threading.Thread(target=self.play_one, args=(step,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def close(self) -> None:
        """Leave the boxes as they are."""
        if self.supervisor.thread.is_alive():
            self.supervisor.close()

    def play_one(self, step: Step) -> None:
        """Play one step; a failure to play it is a failure of the run."""
        try:
            self.plays[step.kind](step)
        except Exception as error:  # Reported with the run.
            self.failures.append(f"STEP {step.kind} was not played: {error!r}")

    def restart_entry(self, step: Step) -> None:
        """Stop an entry, which is started again."""
        self.replace(step, self.site.entries, self.entry_places, self.stop)

    def restart_holder(self, step: Step) -> None:
        """Stop a holder, which is started again with its disk."""
        self.replace(step, self.site.holders, self.holder_place, self.stop)

    def kill_entry(self, step: Step) -> None:
        """Kill an entry, which is started again."""
        self.replace(step, self.site.entries, self.entry_places, self.kill)

    def kill_holder(self, step: Step) -> None:
        """Kill a holder, which is started again with its disk."""
        self.replace(step, self.site.holders, self.holder_place, self.kill)

    def wipe(self, step: Step) -> None:
        """Kill a holder, which is started again without its disk."""
        self.replace(step, self.site.holders, self.holder_place, self.lose_disk)

    def wipe_and_kill_all(self, step: Step) -> None:
        """Take the disk of a holder away while all other boxes are killed."""
        self.replace(step, self.site.holders, self.holder_place, self.lose_all)

    def replace(
        self,
        step: Step,
        names: list[str],
        places: threading.Semaphore,
        end: Callable[[str], None],
    ) -> None:
        """End a box and return once the next process of it serves.

        A planned stop for which no place gets free before the play ends falls away.
        """
        is_planned = end == self.stop
        until = self.ends_at if is_planned else self.ends_at + STOP_SECONDS
        if not places.acquire(timeout=max(0.0, until - time.monotonic())):
            return
        name = self.take(step, names)
        try:
            starts = self.site.nodes.processes[name].starts
            end(name)
            self.wait_for(lambda: self.is_past(name, starts), f"{name} is started")
            self.send_start_signals(name, step)
            self.wait_serving(name)
            if not is_planned and name in self.site.holders:
                self.site.nodes.wait_held(len(self.site.holders))
        finally:
            self.busy.discard(name)
            places.release()

    def take(self, step: Step, names: list[str]) -> str:
        """Return the box that a step is for, one that no other step works on."""
        with self.lock:
            free = [name for name in names if name not in self.busy]
            name = free[int(step.pick * len(free))]
            self.busy.add(name)
            return name

    def is_past(self, name: str, starts: int) -> bool:
        """Whether a box was started again and runs."""
        process = self.site.nodes.processes[name]
        # The start is counted before its process is there.
        return process.starts > starts and process.is_running

    def send_start_signals(self, name: str, step: Step) -> None:
        """Send a process that is starting what the step says."""
        spawned = time.monotonic()
        starts = self.site.nodes.processes[name].starts
        for start_signal in step.signals:
            wait = spawned + start_signal.seconds - time.monotonic()
            time.sleep(max(0.0, wait))
            number = signal.SIGTERM if start_signal.is_stop else signal.SIGHUP
            self.supervisor.send(name, number)
        if any(start_signal.is_stop for start_signal in step.signals):
            self.wait_for(lambda: self.is_past(name, starts), f"{name} is started")

    def wait_serving(self, name: str) -> None:
        """Wait until a box serves, a holder also until it has caught up."""
        what = f"{name} serves"
        if name in self.site.entries:
            address = self.site.nodes.ready[name]
            self.wait_for(lambda: self.site.nodes.answers(address, "/readyz"), what)
            return
        self.wait_for(lambda: self.supervisor.has_started(name), what)
        time.sleep(CATCH_UP_SECONDS)

    def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until something came true."""
        wait_until(condition, what, STOP_SECONDS)

    def stop(self, name: str) -> None:
        """Ask a box to stop."""
        self.supervisor.send(name, signal.SIGTERM)

    def kill(self, name: str) -> None:
        """End a box at once."""
        with self.site.records.disturbed(name):
            self.end_at_once([name])

    def lose_disk(self, name: str) -> None:
        """End a box at once and empty its disk."""
        with self.site.records.disturbed(name):
            self.end_at_once([name], wiped=name)

    def lose_all(self, name: str) -> None:
        """End all boxes at once and empty the disk of one."""
        with self.site.records.disturbed():
            self.end_at_once(self.boxes, wiped=name)

    def kill_all(self, step: Step) -> None:
        """End all boxes at once."""
        del step
        with self.site.records.disturbed():
            self.end_at_once(self.boxes)

    def end_at_once(self, names: list[str], wiped: str = "") -> None:
        """Kill boxes at one moment; return when all of them serve again."""
        locks = [self.supervisor.locks[name] for name in names]
        for lock in locks:
            lock.acquire()
        starts = {name: self.site.nodes.processes[name].starts for name in names}
        for name in names:
            self.supervisor.send(name, signal.SIGKILL)
        for name in names:
            self.site.nodes.processes[name].wait()
        if wiped:
            self.site.wipe(wiped)
        for lock in locks:
            lock.release()
        for name in names:
            self.wait_for(
                lambda n=name: self.is_past(n, starts[n]) and self.serves(n),
                f"{name} serves after it was killed",
            )

    def serves(self, name: str) -> bool:
        """Whether a box serves."""
        if name in self.site.entries:
            return self.site.nodes.answers(self.site.nodes.ready[name], "/readyz")
        return self.supervisor.has_started(name)

    def hang_up(self, step: Step) -> None:
        """Let a box read its settings again, whatever it is doing."""
        name = self.boxes[int(step.pick * len(self.boxes))]
        self.supervisor.send(name, signal.SIGHUP)

    def hang_up_all(self, step: Step) -> None:
        """Let all boxes read their settings again."""
        del step
        for name in self.boxes:
            self.supervisor.send(name, signal.SIGHUP)

    def configure(self, step: Step) -> None:
        """Write a new configuration."""
        del step
        with self.lock:
            self.site.configure()
