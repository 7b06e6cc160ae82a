"""Counts the crashes of targets that run one call."""

from __future__ import annotations

import logging
import random
import time
from functools import cached_property
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.crashes.request_digest import compute_request_digest
from cedarchute.crashes.target_life import TargetLife
from cedarchute.crashes.watched_run import WatchedRun
from cedarchute.decisions.crash_count import MAX_CRASHES, NO_CRASHES, SUSPECT_CRASHES
from cedarchute.decisions.target_run import RunState, are_decided
from cedarchute.relay.target_answer import MIN_SERVER_ERROR
from cedarchute.relay.target_connection import SILENT
from cedarchute.request_ids import current_request_id
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.crashes.crash_watcher import CrashWatcher
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_failure import TargetFailureError
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.crashes")

# How long a call waits for what shows whether the targets of earlier runs live.
HOLD_SECONDS: Final = 1.0
HOLD_POLL_SECONDS: Final = 0.02
# How long a target has for the health check that decides whether a call is refused.
DECIDING_ANSWER_SECONDS: Final = 0.5
# A run that can't be decided now may be after this: a target that is cut off comes
# back, or its entry goes.
UNDECIDED_RETRY_SECONDS: Final = 1.0
# Two boxes that keep each other from sending try again after different times.
MAX_PAUSE_SECONDS: Final = 0.03


class CrashWatch:
    """Watches the runs of one attempt of a caller.

    Attributes
    ----------
    run : WatchedRun or None
        The run that is under way.
    checked : set of str
        Incarnations that were found not to live before the call was sent to them.
    """

    def __init__(
        self, request: CallerRequest, call: Call, watcher: CrashWatcher
    ) -> None:
        self.request = request
        self.call = call
        self.watcher = watcher
        self.exchange = watcher.exchange
        self.metrics = watcher.metrics
        self.run: WatchedRun | None = None
        self.checked: set[str] = set()

    @cached_property
    def digest(self) -> str:
        """The digest that all attempts of the request share."""
        return compute_request_digest(self.request, self.call)

    @property
    def is_suspect(self) -> bool:
        """Whether several targets crashed under the request, or may have."""
        table = self.exchange.table
        if not table:
            return False
        if table.find(self.digest).is_suspect:
            return True
        return len(table.list_suspects(self.digest)) >= SUSPECT_CRASHES

    def list_doubted(self) -> set[str]:
        """Return the ids of targets that have failed, if a run of the request counts.

        What becomes of them would say nothing of the request.
        """
        table = self.exchange.table
        if not table or not table.list_suspects(self.digest):
            return set()
        targets = map(self.watcher.find_target, list(table.doubted_since))
        return {target.id for target in targets if target is not None}

    def find_block(self) -> float | None:
        """Return for how many seconds the call must not be sent; None if it may.

        Where runs at three targets count against the request, those that are open are
        decided first, and those under way have a moment to end.
        """
        self.exchange.learn_at_start()
        table = self.exchange.table
        if not table:
            return None
        seconds = table.find_block(self.digest)
        if seconds is not None:
            return seconds
        if not self.is_at_limit():
            return None
        self.hold()
        if not self.is_at_limit():
            return table.find_block(self.digest)
        suspects = table.list_suspects(self.digest)
        log.info(
            "Request held back by its runs.",
            extra={"request": self.digest, "runs": suspects},
        )
        if are_decided(suspects.values()):
            return table.find_lapse(self.digest)
        return UNDECIDED_RETRY_SECONDS

    def is_at_limit(self, other_than: str = "") -> bool:
        """Whether as many targets as may crash under the request did, or may have."""
        suspects = self.exchange.table.list_suspects(self.digest)
        suspects.pop(other_than, None)
        if len(suspects) < MAX_CRASHES:
            return False
        return not self.watcher.answers.has(self.request, self.call)

    def hold(self) -> None:
        """Wait until the call may be sent, or nothing more can be learnt for now."""
        started = time.monotonic()
        checked: set[str] = set()
        while time.monotonic() < started + HOLD_SECONDS:
            suspects = self.exchange.table.list_suspects(self.digest)
            is_open = [t for t, state in suspects.items() if state is RunState.OPEN]
            self.decide_open([t for t in is_open if t not in checked])
            checked.update(is_open)
            if not self.is_at_limit():
                break
            states = self.exchange.table.list_suspects(self.digest).values()
            if RunState.RUNNING not in states:
                break
            eventlet.sleep(HOLD_POLL_SECONDS)
        self.metrics.time("crashes.held", time.monotonic() - started)

    def decide_open(self, incarnations: list[str]) -> None:
        """Find out whether the targets of open runs live."""
        targets = [self.watcher.find_target(each) for each in incarnations]
        tasks = [
            eventlet.spawn(self.decide, target, DECIDING_ANSWER_SECONDS)
            for target in targets
            if target is not None
        ]
        for task in tasks:
            task.wait()

    def decide(self, target: TargetEntry, answer_seconds: float) -> None:
        """Take in whether the target of an open run lives."""
        life = self.watcher.life_check.check(target, answer_seconds)
        if life is TargetLife.UNKNOWN:
            return
        state = RunState.CLEARED if life is TargetLife.ALIVE else RunState.ENDED
        if self.exchange.table.note_run(self.digest, target.incarnation, state):
            self.exchange.tell(self.digest)

    def is_fit(self, target: TargetEntry) -> bool:
        """Return whether a target lives that a request which counts is to be sent to.

        Targets that end together would all count against a request that comes to them
        afterwards. Each is checked once; without others it is used nevertheless.
        """
        if target.incarnation in self.checked:
            return True
        started = time.monotonic()
        if self.watcher.life_check.check(target) is TargetLife.ALIVE:
            self.watcher.record_alive(target, started)
            return True
        self.checked.add(target.incarnation)
        self.exchange.table.doubt(target.incarnation)
        return False

    def begin_run(self, target: TargetEntry) -> bool:
        """Take in that the call is sent to a target; return whether it may be.

        A run of a request that counts already is made known first, so that no two
        boxes send it beyond the limit; then its target is checked, as late as can be.
        """
        table = self.exchange.table
        known = table.find(self.digest) if table else NO_CRASHES
        was_doubted = table.is_doubted(target.incarnation)
        run = WatchedRun(self, target, known, was_doubted, is_counted=False)
        if table and table.list_suspects(self.digest):
            if not self.announce(run):
                return False
            if not self.is_fit(target):
                run.clear()
                return False
        self.run = run
        self.exchange.active.add(run)
        return True

    def announce(self, run: WatchedRun) -> bool:
        """Make a run known to all boxes; withdraw it if it is one too many."""
        if run.was_doubted or self.watcher.answers.has(self.request, self.call):
            return True
        run.count(RunState.RUNNING)
        try:
            self.exchange.tell_and_wait(self.digest)
        except BaseException:
            # The caller left before the call was sent.
            run.clear()
            raise
        if not self.is_at_limit(other_than=run.target.incarnation):
            return True
        run.clear()
        eventlet.sleep(random.uniform(0, MAX_PAUSE_SECONDS))
        return False

    def take_run(self) -> WatchedRun | None:
        """Return the run that is under way, which is over for the call."""
        run, self.run = self.run, None
        return run

    def record_not_run(self) -> None:
        """Take in that the target did not run the call."""
        run = self.take_run()
        if run is not None:
            run.end()
            run.clear()

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Find out whether a target that may have run the call has crashed.

        Returns once other boxes know, or after a while. A target that is silent is
        looked at meanwhile: until then its run counts at this box.
        """
        if error.verdict is Verdict.NOT_RUN:
            self.record_not_run()
            return
        run = self.take_run()
        if run is None:
            return
        if error.reason == SILENT:
            run.count(RunState.OPEN)
            eventlet.spawn_n(run.settle, current_request_id())
            return
        # Goes on if the caller leaves meanwhile.
        eventlet.spawn(run.settle, current_request_id()).wait()

    def record_answer(self, status: int) -> None:
        """Clear the request if a target answered it in full and without an error."""
        run = self.take_run()
        if run is not None:
            run.end()
        if status >= MIN_SERVER_ERROR:
            if run is not None:
                run.clear()
            return
        self.watcher.answers.add(self.request, self.call)
        table = self.exchange.table
        if not table:
            return
        count = table.find(self.digest)
        if not count.crashes and not table.list_suspects(self.digest):
            return
        table.merge(self.digest, count.clear())
        self.metrics.count("crashes.cleared")
        log.info(
            "Request cleared of crashes.",
            extra={"request": self.digest, "crashes": count.crashes},
        )
        self.exchange.tell(self.digest)

    def close(self) -> None:
        """Take in that the call is over; its caller left a run without an end."""
        run = self.take_run()
        if run is not None:
            eventlet.spawn_n(run.watch_left, current_request_id())
