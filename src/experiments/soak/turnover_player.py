"""Plays machines that join, are replaced, emptied, stopped and lose their disks."""

from __future__ import annotations

import signal
import threading
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from experiments.process import STOP_SECONDS
from experiments.soak.machines import CATCH_UP_SECONDS, Machines
from experiments.soak.turnover_step import Order, TurnoverKind, TurnoverStep
from experiments.waiting import wait_until

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Iterator

    from experiments.soak.soak_site import SoakSite

MOST_HOLDERS: Final = 8
MOST_ENTRIES: Final = 5
COMPLETED: Final = "completed"
# What the results call disks that were emptied or left with their machine.
DISKS: Final = "disks lost one after another"


class TurnoverPlayer:
    """Loses no more disks at once than the site tolerates.

    A disk counts as lost from its loss, or from when its machine left for good, until
    all holders have run for as long as a machine that starts counts as lost. One that
    is away with its machine is not lost, nor is that of a machine that was emptied.

    Attributes
    ----------
    disk_places : Semaphore
        Taken for a disk while it counts as lost.
    stop_places : Semaphore
        Taken for a holder that is stopped as planned.
    emptying : int
        Holders that are being emptied; each has a spare or a successor.
    """

    def __init__(
        self, site: SoakSite, steps: list[TurnoverStep], seconds: float
    ) -> None:
        self.site = site
        self.steps = steps
        self.seconds = seconds
        self.ends_at = 0.0
        self.machines = Machines(site)
        self.disk_places = threading.Semaphore(site.shape.losses)
        self.stop_places = threading.Semaphore(site.shape.losses)
        self.lock = threading.Lock()
        self.emptying = 0
        self.plays: dict[TurnoverKind, Callable[[TurnoverStep], None]] = {
            TurnoverKind.JOIN_ENTRY: self.join_entry,
            TurnoverKind.JOIN_HOLDER: self.join_holder,
            TurnoverKind.REPLACE_ENTRY: self.replace_entry,
            TurnoverKind.REPLACE_HOLDER: self.replace_holder,
            TurnoverKind.EMPTY_HOLDER: self.empty_holder,
            TurnoverKind.STOP_ENTRY: self.stop_entry,
            TurnoverKind.STOP_HOLDER: self.stop_holder,
            TurnoverKind.KILL_HOLDER: self.kill_holder,
            TurnoverKind.KILL_ALL: self.kill_all,
            TurnoverKind.LOSE_DISK: self.lose_disk,
            TurnoverKind.LOSE_DISK_AND_KILL_ALL: self.lose_disk_and_kill_all,
            TurnoverKind.CONFIGURE: self.configure,
            TurnoverKind.HANG_UP: self.hang_up,
        }

    @property
    def count(self) -> int:
        """How many steps are played."""
        return len(self.steps)

    @property
    def failures(self) -> list[str]:
        """What went wrong, a line each."""
        return self.machines.supervisor.failures

    @property
    def figures(self) -> Counter[str]:
        """What is counted, and breaks no promise."""
        return self.machines.supervisor.figures

    def play(self) -> None:
        """Play every step at its time and the final fault once all are over."""
        self.machines.begin()
        started = time.monotonic()
        self.ends_at = started + self.seconds
        threads = []
        for step in self.steps[:-1]:
            time.sleep(max(0.0, started + step.at - time.monotonic()))
            thread = threading.Thread(target=self.play_one, args=(step,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        self.ends_at = time.monotonic() + STOP_SECONDS
        self.play_one(self.steps[-1])

    def close(self) -> None:
        """Leave the machines as they are."""
        if self.machines.supervisor.thread.is_alive():
            self.machines.supervisor.close()

    def play_one(self, step: TurnoverStep) -> None:
        """Play one step; a failure to play it is a failure of the run."""
        try:
            self.plays[step.kind](step)
        except Exception as error:  # Reported with the run.
            self.failures.append(f"STEP {step.kind} was not played: {error!r}")

    @contextmanager
    def place(self, places: threading.Semaphore) -> Iterator[bool]:
        """Hold a place; tell whether one got free before the play ends."""
        is_free = places.acquire(timeout=max(0.0, self.ends_at - time.monotonic()))
        if is_free and places is self.disk_places:
            self.figures[DISKS] += 1
        try:
            yield is_free
        finally:
            if is_free:
                places.release()

    def choose_domain(self, step: TurnoverStep) -> str:
        """Return a failure domain for a machine that joins."""
        domains = self.site.shape.domains
        return domains[int(step.pick * len(domains))]

    def join_entry(self, step: TurnoverStep) -> None:
        """Start one more entry."""
        if len(self.site.entries) < MOST_ENTRIES:
            self.machines.add("entry", self.choose_domain(step))

    def join_holder(self, step: TurnoverStep) -> None:
        """Start one more holder, which finds all seats taken."""
        if len(self.site.holders) < MOST_HOLDERS:
            self.machines.add("holder", self.choose_domain(step))

    def replace_entry(self, step: TurnoverStep) -> None:
        """Replace an entry by one at another address."""
        with self.machines.taken(self.site.entries, step.pick) as name:
            if name:
                self.make_way(name, "entry", step)

    def replace_holder(self, step: TurnoverStep) -> None:
        """Replace a holder, whose disk goes with it."""
        with (
            self.place(self.disk_places) as is_free,
            self.machines.taken(self.site.holders, step.pick) as name,
        ):
            if is_free and name:
                self.make_way(name, "holder", step)

    def make_way(self, name: str, role: str, step: TurnoverStep) -> None:
        """End a machine for good and start its successor, in the order of the step."""
        domain = self.site.domains[name]
        if step.order is Order.SUCCESSOR_FIRST:
            self.start_successor(role, domain)
            time.sleep(step.gap_seconds)
            self.machines.remove(name, is_stopped=True)
        elif step.order is Order.STOP_FIRST:
            self.machines.remove(name, is_stopped=True)
            time.sleep(step.gap_seconds)
            self.start_successor(role, domain)
        else:
            with self.site.records.disturbed():
                self.machines.remove(name, is_stopped=False)
                time.sleep(step.gap_seconds)
                self.start_successor(role, domain)
        if role == "holder":
            self.machines.wait_calm()

    def start_successor(self, role: str, domain: str) -> None:
        """Start a machine and wait until it runs."""
        self.machines.wait_serving([self.machines.add(role, domain)])

    def empty_holder(self, step: TurnoverStep) -> None:
        """Empty a holder beside a spare, then end it for good."""
        with self.machines.taken(self.site.holders, step.pick) as name:
            if not name:
                return
            with self.lock:
                self.emptying += 1
                left = len(self.site.holders) - self.emptying
            if left < self.site.shape.seats:
                self.start_successor("holder", self.site.domains[name])
            self.site.nodes.write(f"op/retire/{name}", {"DurationS": 10})
            status = f"status/retire/{name}"
            wait_until(
                lambda: COMPLETED in (self.site.nodes.read(status) or ""),
                f"{name} is empty",
                STOP_SECONDS,
            )
            time.sleep(step.gap_seconds)
            self.machines.remove(name, step.order is not Order.KILL_FIRST)
            with self.lock:
                self.emptying -= 1

    def stop_entry(self, step: TurnoverStep) -> None:
        """Stop an entry, which comes back."""
        with self.machines.taken(self.site.entries, step.pick) as name:
            if name:
                self.machines.restart(name, signal.SIGTERM, 0.0)

    def stop_holder(self, step: TurnoverStep) -> None:
        """Stop a holder, which comes back with its disk."""
        with (
            self.place(self.stop_places) as is_free,
            self.machines.taken(self.site.holders, step.pick) as name,
        ):
            if is_free and name:
                self.machines.restart(name, signal.SIGTERM, step.gap_seconds)
                time.sleep(CATCH_UP_SECONDS)

    def kill_holder(self, step: TurnoverStep) -> None:
        """Kill a holder, which comes back with its disk."""
        with self.machines.taken(self.site.holders, step.pick) as name:
            if name:
                with self.site.records.disturbed():
                    self.machines.kill([name], {name: step.away_seconds})

    def kill_all(self, step: TurnoverStep) -> None:
        """Kill all machines at one moment; one of them stays away longer."""
        with (
            self.machines.taken(self.site.holders, step.pick) as name,
            self.site.records.disturbed(),
        ):
            self.machines.kill(self.machines.names, {name: step.away_seconds})

    def lose_disk(self, step: TurnoverStep) -> None:
        """Kill a holder, which comes back without its disk."""
        self.lose(step, with_all=False)

    def lose_disk_and_kill_all(self, step: TurnoverStep) -> None:
        """Kill all machines, one of which comes back without its disk."""
        self.lose(step, with_all=True)

    def lose(self, step: TurnoverStep, with_all: bool) -> None:
        """Take the disk of a holder away."""
        with (
            self.place(self.disk_places) as is_free,
            self.machines.taken(self.site.holders, step.pick) as name,
        ):
            if not is_free or not name:
                return
            with self.site.records.disturbed():
                names = self.machines.names if with_all else [name]
                away = {name: step.away_seconds}
                if with_all and step.order is not Order.KILL_FIRST:
                    away = {n: step.gap_seconds for n in names if n != name}
                self.machines.kill(names, away, wiped=name)
            self.machines.wait_calm()

    def configure(self, step: TurnoverStep) -> None:
        """Write a new configuration."""
        del step
        with self.lock:
            self.site.configure()

    def hang_up(self, step: TurnoverStep) -> None:
        """Let a machine read its settings again."""
        names = self.machines.names
        name = names[int(step.pick * len(names))]
        self.machines.supervisor.send(name, signal.SIGHUP)
