"""Plays the last fault of a run, goes on with every kept turn, and judges that."""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING, Final

from experiments.soak.final_caller import FinalCaller, list_kept_turns
from experiments.soak.final_check import RECOVERY_SECONDS, WINDOW_SECONDS, check_final
from experiments.soak.final_fault import Loss, Trigger
from experiments.soak.in_force import NOT_FOUND, OK, ask_newest_route
from experiments.soak.planned_player import CATCH_UP_SECONDS, READY_SECONDS
from experiments.waiting import ConditionError

if TYPE_CHECKING:
    from experiments.soak.final_caller import KeptTurn
    from experiments.soak.final_fault import FinalFault
    from experiments.soak.soak_site import SoakSite

CALLERS: Final = 8
# Those answered last, few enough that each is tried every other second.
MOST_KEPT: Final = 64
# For looks at the configuration that end at a target which does not answer.
LOOK_SECONDS: Final = 4.0


class FinalPlayer:
    """Harms a site once, while its other callers go on.

    Attributes
    ----------
    back_at : float
        When all processes had been started again, monotonic.
    """

    def __init__(self, site: SoakSite, fault: FinalFault, seed: int) -> None:
        self.site = site
        self.fault = fault
        self.seed = seed
        self.boxes = [*site.entries, *site.holders]
        self.back_at = 0.0
        self.writer = threading.Thread(target=site.configure, daemon=True)

    def play(self) -> list[str]:
        """Return a line for each promise that was broken."""
        try:
            self.calm()
        except ConditionError as error:
            return [f"RECOVER before the last fault: {error}"]
        self.await_trigger()
        failed_at = time.monotonic()
        with self.site.records.disturbed():
            self.lose()
        self.back_at = time.monotonic()
        self.writer.join()
        kept = list_kept_turns(self.site.records, failed_at)[-MOST_KEPT:]
        failures = self.continue_turns(kept)
        return [
            *failures,
            *check_final(self.site.records, kept, failed_at, self.back_at),
            *self.check_configuration(),
        ]

    def calm(self) -> None:
        """Bring back what the play left down, and let a lost disk catch up.

        Only as many disks are lost at a time as the site bears.
        """
        for name in self.boxes:
            self.site.restart(name)
        if self.fault.takes_disk:
            self.site.wait_whole(READY_SECONDS)
            time.sleep(CATCH_UP_SECONDS)

    def await_trigger(self) -> None:
        """Return as soon as the fault is due."""
        if self.fault.trigger is Trigger.CONFIRMED:
            self.writer.start()
            self.writer.join()
            return
        if self.fault.trigger is Trigger.SENT:
            self.writer.start()
            time.sleep(self.fault.delay_seconds)
            return
        caller = FinalCaller(CALLERS, self.seed, self.site, [])
        caller.take_first_turn()
        self.writer.start()

    def lose(self) -> None:
        """Kill and wipe at one moment, and start everything again."""
        wiped = self.site.holders[int(self.fault.pick * len(self.site.holders))]
        killed = {
            Loss.KILL_ALL: self.boxes,
            Loss.WIPE: [wiped],
            Loss.WIPE_AND_KILL_HOLDERS: self.site.holders,
            Loss.WIPE_AND_KILL_ALL: self.boxes,
        }[self.fault.loss]
        processes = [self.site.nodes.processes[name] for name in killed]
        for process in processes:
            if process.popen is not None:
                process.popen.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()
        if self.fault.takes_disk:
            self.site.wipe(wiped)
        time.sleep(self.fault.down_seconds)
        for name in killed:
            self.site.restart(name)

    def check_configuration(self) -> list[str]:
        """Return a line for each entry without the configuration that was confirmed.

        A call that looks may end at a target that refuses or breaks off.
        """
        return [
            f"CONFIG {name} does not serve {self.site.mark} after the last fault"
            for name in self.site.entries
            if not self.serves_newest_route(name)
        ]

    def serves_newest_route(self, name: str) -> bool:
        """Whether an entry serves the newest route, by its first answer that tells."""
        until = time.monotonic() + LOOK_SECONDS
        while time.monotonic() < until:
            status = ask_newest_route(self.site, name)
            if status in (OK, NOT_FOUND):
                return status == OK
        return False

    def continue_turns(self, kept: list[KeptTurn]) -> list[str]:
        """Go on with each kept turn; return what failed once the time is over."""
        until = self.back_at + RECOVERY_SECONDS + WINDOW_SECONDS
        callers = [
            FinalCaller(number, self.seed, self.site, kept[number::CALLERS])
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.until = until
            caller.thread.start()
        time.sleep(max(0.0, until - time.monotonic()))
        for caller in callers:
            caller.thread.join()
        return [failure for caller in callers for failure in caller.failures]
