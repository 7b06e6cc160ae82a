"""Counts the crashes of targets that run one call."""

from __future__ import annotations

import logging
import random
import time
from functools import cached_property
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.crashes.request_digest import (
    compute_content_digest,
    compute_request_digest,
)
from cedarchute.crashes.target_life import TargetLife
from cedarchute.decisions.crash_count import MAX_CRASHES, NO_CRASHES, SUSPECT_CRASHES
from cedarchute.decisions.target_run import RunState, are_decided
from cedarchute.relay.target_answer import MIN_SERVER_ERROR
from cedarchute.relay.target_connection import SILENT
from cedarchute.request_ids import current_request_id, set_request_id
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
# A target that outlives a run by this much, after its caller left, outlives it.
LEFT_SECONDS: Final = 0.5
# An answer to a call sent as lately as this shows the same.
LEFT_PROOF_SECONDS: Final = 0.2


class CrashWatch:
    """Watches the runs of one attempt of a caller.

    Attributes
    ----------
    target : TargetEntry or None
        The target that runs the call now.
    is_announced : bool
        Whether other boxes count that run.
    was_doubted : bool
        Whether that target had failed before: what becomes of it says nothing of this
        call.
    known : CrashCount
        The count of the request when the last run was sent.
    """

    def __init__(
        self, request: CallerRequest, call: Call, watcher: CrashWatcher
    ) -> None:
        self.request = request
        self.call = call
        self.watcher = watcher
        self.exchange = watcher.exchange
        self.metrics = watcher.metrics
        self.target: TargetEntry | None = None
        self.is_announced = False
        self.was_doubted = False
        self.known = NO_CRASHES

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

        Such a request is likely to be innocent or to do harm: neither should meet a
        target that may have ended before.
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

    def begin_run(self, target: TargetEntry) -> bool:
        """Take in that the call is sent to a target; return whether it may be.

        A run of a request that counts already is made known first, so that no two
        boxes send it beyond the limit.
        """
        table = self.exchange.table
        self.known = table.find(self.digest) if table else NO_CRASHES
        self.was_doubted = table.is_doubted(target.incarnation)
        if table and table.list_suspects(self.digest) and not self.announce(target):
            return False
        self.target = target
        self.exchange.active.add(self)
        return True

    def announce(self, target: TargetEntry) -> bool:
        """Make a run known to all boxes; withdraw it if it is one too many."""
        if self.watcher.answers.has(self.request, self.call):
            return True
        table = self.exchange.table
        incarnation = target.incarnation
        if self.was_doubted:
            return True
        is_new = table.note_run(self.digest, incarnation, RunState.RUNNING)
        self.exchange.tell_and_wait(self.digest)
        if not self.is_at_limit(other_than=incarnation):
            self.is_announced = is_new
            return True
        if is_new:
            table.note_run(self.digest, incarnation, RunState.CLEARED)
            self.exchange.tell(self.digest)
        eventlet.sleep(random.uniform(0, MAX_PAUSE_SECONDS))
        return False

    def note_running(self) -> None:
        """Have a run that is under way count, since the request counts elsewhere."""
        target = self.target
        if target is None or self.is_announced or self.was_doubted:
            return
        table = self.exchange.table
        self.is_announced = table.note_run(
            self.digest, target.incarnation, RunState.RUNNING
        )

    def end_run(self) -> bool:
        """Take in that the run is over; return whether it counted."""
        self.exchange.active.discard(self)
        was_announced, self.is_announced = self.is_announced, False
        self.target = None
        return was_announced

    def record_not_run(self) -> None:
        """Take in that the target did not run the call."""
        target = self.target
        if target is not None and self.end_run():
            self.clear_run(target)

    def clear_run(self, target: TargetEntry) -> None:
        """Have a run count no more."""
        table = self.exchange.table
        if table.note_run(self.digest, target.incarnation, RunState.CLEARED):
            self.exchange.tell(self.digest)

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Find out whether a target that may have run the call has crashed.

        Returns once other boxes know, or after a while. A target that is silent is
        looked at meanwhile: until then its run counts at this box.
        """
        if error.verdict is Verdict.NOT_RUN:
            self.record_not_run()
            return
        counted = self.end_run()
        # Goes on if the caller leaves meanwhile.
        if error.reason == SILENT:
            if not self.was_doubted:
                table = self.exchange.table
                state = RunState.OPEN
                counted |= table.note_run(self.digest, target.incarnation, state)
            eventlet.spawn_n(self.settle, target, counted, current_request_id())
            return
        task = eventlet.spawn(self.settle, target, counted, current_request_id())
        task.wait()

    def settle(self, target: TargetEntry, counted: bool, request_id: str) -> None:
        """Find out whether the target of a failed run lives; tell other boxes.

        Parameters
        ----------
        counted : bool
            Whether the run counts already.
        """
        set_request_id(request_id)
        started = time.monotonic()
        life = self.watcher.life_check.check(target)
        if life is TargetLife.ALIVE:
            if counted:
                self.clear_run(target)
            self.watcher.record_alive(target, started)
            return
        if self.was_doubted:
            log.info(
                "Target had failed before the call.",
                extra={"target": target.incarnation, "life": life},
            )
            return
        if life is TargetLife.ENDED:
            self.count_crash(target)
        else:
            self.count_open_run(target)
        self.exchange.tell_and_wait(self.digest)

    def count_open_run(self, target: TargetEntry) -> None:
        """Count a target that may have ended under the call."""
        self.exchange.table.note_run(self.digest, target.incarnation, RunState.OPEN)
        self.metrics.count("targets.unknown_after_call")
        log.info(
            "Target may have crashed under a call.", extra=self.describe_run(target)
        )

    def count_crash(self, target: TargetEntry) -> None:
        """Count a target that ended under the call."""
        table = self.exchange.table
        count = self.known.add_crash()
        is_new = table.merge(self.digest, count)
        table.note_run(self.digest, target.incarnation, RunState.ENDED)
        self.metrics.count("targets.crashed_under_call")
        log.info(
            "Target crashed under a call.",
            extra={
                **self.describe_run(target),
                "crashes": count.crashes,
                "clearances": count.clearances,
                "is_new": is_new,
            },
        )

    def describe_run(self, target: TargetEntry) -> dict[str, object]:
        """Return what the log says of a run."""
        return {
            "target": target.incarnation,
            "request": self.digest,
            "content": compute_content_digest(self.request),
            "program": self.call.program.program,
            "path": self.request.path.decode("latin-1"),
            "runs": self.exchange.table.list_suspects(self.digest),
            "sends": self.call.progress.sends,
        }

    def record_answer(self, status: int) -> None:
        """Clear the request if a target answered it in full and without an error."""
        target = self.target
        counted = self.end_run()
        if status >= MIN_SERVER_ERROR:
            if counted and target is not None:
                self.clear_run(target)
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
        if self.target is not None:
            eventlet.spawn_n(self.watch_left_run, self.target, current_request_id())

    def watch_left_run(self, target: TargetEntry, request_id: str) -> None:
        """Find out whether a target outlives a run that its caller left."""
        eventlet.sleep(LEFT_SECONDS)
        counted = self.end_run()
        alive_at = self.watcher.find_alive_at(target.incarnation)
        if alive_at < time.monotonic() - LEFT_PROOF_SECONDS:
            self.settle(target, counted, request_id)
        elif counted:
            self.clear_run(target)
