"""Plays the faults of a run, each in a thread of its own."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Final, TypeVar

from experiments.soak.contact import EVERYTHING
from experiments.soak.fault import Fault, FaultKind
from experiments.soak.link import Harm
from experiments.soak.startup import can_be_reached

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from contextlib import AbstractContextManager

    from experiments.soak.link import Link
    from experiments.soak.soak_site import SoakSite

ThingT = TypeVar("ThingT")

HARMS: Final = (Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY, Harm.REFUSE)


class FaultPlayer:
    """Harms the site; a box is harmed by one fault at a time."""

    def __init__(self, site: SoakSite, faults: list[Fault]) -> None:
        self.site = site
        self.faults = faults
        self.boxes = [*site.entries, *site.holders]
        self.locks = {name: threading.Lock() for name in [*self.boxes, "store"]}
        self.failures: list[str] = []
        self.figures: Counter[str] = Counter()
        self.plays: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.KILL: self.kill,
            FaultKind.PAUSE: self.pause,
            FaultKind.PLANNED_STOP: self.stop,
            FaultKind.KILL_ALL: self.kill_all,
            FaultKind.WIPE: self.wipe,
            FaultKind.STORE_DOWN: self.take_store_down,
            FaultKind.STORE_PAUSE: self.pause_store,
            FaultKind.STORE_LINK: self.harm_store_link,
            FaultKind.TARGET_LINK: self.harm_target_link,
            FaultKind.CALLER_LINK: self.harm_caller_link,
            FaultKind.RESET_LINKS: self.reset_links,
            FaultKind.CONFIGURE: self.configure,
        }

    @property
    def count(self) -> int:
        """How many faults are played."""
        return len(self.faults)

    def close(self) -> None:
        """Leave the boxes as they are."""

    def play(self) -> None:
        """Play every fault at its time; return once all are over."""
        started = time.monotonic()
        threads = []
        for fault in self.faults:
            time.sleep(max(0.0, started + fault.at - time.monotonic()))
            thread = threading.Thread(target=self.play_one, args=(fault,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def play_one(self, fault: Fault) -> None:
        """Play one fault; a failure to play it is a failure of the run."""
        try:
            self.plays[fault.kind](fault)
        except Exception as error:  # Reported with the run.
            self.failures.append(f"FAULT {fault.kind} was not played: {error!r}")

    def disturbed(self, name: str = EVERYTHING) -> AbstractContextManager[None]:
        """Return what holds while an unplanned fault lasts."""
        return self.site.records.disturbed(name)

    def kill(self, fault: Fault) -> None:
        """End a box at once, and start it again later."""
        name = pick(self.boxes, fault)
        with self.locks[name], self.disturbed(name):
            self.site.nodes.kill(name)
            time.sleep(fault.seconds)
            self.site.restart(name)

    def pause(self, fault: Fault) -> None:
        """Freeze a box for a while."""
        name = pick(self.boxes, fault)
        with self.locks[name], self.disturbed(name):
            process = self.site.nodes.processes[name]
            process.pause()
            time.sleep(fault.seconds)
            process.resume()

    def stop(self, fault: Fault) -> None:
        """Stop a box as planned, and start it again.

        One that nobody can have reached yet ends at once.
        """
        name = pick(self.boxes, fault)
        with self.locks[name]:
            process = self.site.nodes.processes[name]
            was_reachable = can_be_reached(process.pid)
            self.site.records.contact.note_stop(name)
            process.terminate()
            code = process.wait()
            if code != 0 and was_reachable:
                self.failures.append(f"STOP {name} ended with {code}")
            self.site.restart(name)

    def kill_all(self, fault: Fault) -> None:
        """End all boxes at one moment, and start them again."""
        for name in self.boxes:
            self.locks[name].acquire()
        with self.disturbed():
            for name in self.boxes:
                self.site.nodes.kill(name)
            time.sleep(fault.seconds)
            for name in self.boxes:
                self.site.restart(name)
                self.locks[name].release()

    def wipe(self, fault: Fault) -> None:
        """End a holder and take its disk away."""
        name = pick(self.site.holders, fault)
        with self.locks[name], self.disturbed(name):
            self.site.nodes.kill(name)
            self.site.wipe(name)
            time.sleep(fault.seconds)
            self.site.restart(name)

    def take_store_down(self, fault: Fault) -> None:
        """Let the store turn every call away."""
        with self.locks["store"], self.disturbed():
            self.site.nodes.switch_store(down=True)
            time.sleep(fault.seconds)
            self.site.nodes.switch_store(down=False)

    def pause_store(self, fault: Fault) -> None:
        """Freeze the store."""
        with self.locks["store"], self.disturbed():
            process = self.site.nodes.processes["store"]
            process.pause()
            time.sleep(fault.seconds)
            process.resume()

    def harm_store_link(self, fault: Fault) -> None:
        """Harm the way of one box to the store."""
        self.harm_one_of(self.site.store_links, fault)

    def harm_target_link(self, fault: Fault) -> None:
        """Harm the way to one back end."""
        self.harm_one_of(self.site.target_links, fault)

    def harm_caller_link(self, fault: Fault) -> None:
        """Harm the way of callers to one entry."""
        self.harm_one_of(self.site.caller_links, fault)

    def harm_one_of(self, links: dict[str, Link], fault: Fault) -> None:
        """Harm one of some links for a while, in the manner that the draw says."""
        name = pick(list(links), fault)
        with self.disturbed(name):
            links[name].harm = HARMS[int(fault.pick * 1000) % len(HARMS)]
            time.sleep(fault.seconds)
            links[name].harm = Harm.NONE

    def reset_links(self, fault: Fault) -> None:
        """Reset all connections of one link."""
        tables = (
            self.site.store_links,
            self.site.target_links,
            self.site.caller_links,
        )
        links = [named for table in tables for named in table.items()]
        name, link = pick(links, fault)
        with self.disturbed(name):
            link.reset_all()

    def configure(self, fault: Fault) -> None:
        """Write a new configuration; the store may be away, then nothing changes."""
        del fault
        with self.locks["store"]:
            self.site.configure()


def pick(things: Sequence[ThingT], fault: Fault) -> ThingT:
    """Return what a fault happens to."""
    return things[int(fault.pick * len(things))]
