"""One run of a call at a target, and what becomes of that target."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.crashes.request_digest import compute_content_digest
from cedarchute.crashes.target_life import TargetLife
from cedarchute.decisions.target_run import RunState
from cedarchute.request_ids import set_request_id

if TYPE_CHECKING:
    from cedarchute.crashes.crash_watch import CrashWatch
    from cedarchute.decisions.crash_count import CrashCount
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.crashes")

# How long a target is expected to outlive a run whose caller left, if it does at all.
LEFT_SECONDS: Final = 0.5
# A target that answered a call sent as lately as this needs no check.
LEFT_PROOF_SECONDS: Final = 0.2


class WatchedRun:
    """A run from its start until it is known whether its target lives.

    Attributes
    ----------
    known : CrashCount
        The count of the request when the run was sent.
    was_doubted : bool
        Whether the target had failed before: what becomes of it says nothing of this
        request.
    is_counted : bool
        Whether the run counts against the request.
    is_held : bool
        Whether the table keeps what it knows of the request until the run is over.
    """

    def __init__(
        self,
        watch: CrashWatch,
        target: TargetEntry,
        known: CrashCount,
        was_doubted: bool,
        is_counted: bool,
    ) -> None:
        self.watch = watch
        self.exchange = watch.exchange
        self.target = target
        self.known = known
        self.was_doubted = was_doubted
        self.is_counted = is_counted
        self.is_held = False

    @property
    def digest(self) -> str:
        """The digest of the request."""
        return self.watch.digest

    def note(self, state: RunState) -> bool:
        """Take in how the run stands; return whether that is news."""
        table = self.exchange.table
        return table.note_run(self.digest, self.target.incarnation, state)

    def count(self, state: RunState) -> None:
        """Have the run count, unless its target had failed before."""
        if self.was_doubted:
            return
        self.is_counted |= self.note(state)
        if not self.is_held:
            self.is_held = True
            self.exchange.table.hold(self.digest)

    def clear(self) -> None:
        """Have the run count no more."""
        if self.is_counted and self.note(RunState.CLEARED):
            self.exchange.tell(self.digest)
        self.is_counted = False
        self.release()

    def end(self) -> None:
        """Take in that nothing more is to be learnt of the run."""
        self.exchange.active.discard(self)
        self.release()

    def release(self) -> None:
        """Let what is known of the request lapse in the usual time from now on."""
        if self.is_held:
            self.is_held = False
            self.exchange.table.release(self.digest)

    def watch_left(self, request_id: str) -> None:
        """Find out whether the target outlives the run, which its caller left."""
        eventlet.sleep(LEFT_SECONDS)
        alive_at = self.watch.watcher.find_alive_at(self.target.incarnation)
        if alive_at < time.monotonic() - LEFT_PROOF_SECONDS:
            self.settle(request_id)
            return
        self.end()
        self.clear()

    def settle(self, request_id: str) -> None:
        """Find out whether the target of a failed run lives; tell other boxes.

        Until then boxes that ask count the run as under way.
        """
        set_request_id(request_id)
        started = time.monotonic()
        try:
            life = self.watch.watcher.life_check.check(self.target)
        finally:
            self.end()
        if life is TargetLife.ALIVE:
            self.clear()
            self.watch.watcher.record_alive(self.target, started)
            return
        if self.was_doubted:
            log.info(
                "Target had failed before the call.",
                extra={"target": self.target.incarnation, "life": life},
            )
            return
        if life is TargetLife.ENDED:
            self.count_crash()
        else:
            self.count_open_run()
        self.exchange.tell_and_wait(self.digest)

    def count_open_run(self) -> None:
        """Count a target that may have ended under the call."""
        self.note(RunState.OPEN)
        self.watch.metrics.count("targets.unknown_after_call")
        log.info("Target may have crashed under a call.", extra=self.describe())

    def count_crash(self) -> None:
        """Count a target that ended under the call."""
        count = self.known.add_crash()
        is_new = self.exchange.table.merge(self.digest, count)
        self.note(RunState.ENDED)
        self.watch.metrics.count("targets.crashed_under_call")
        log.info(
            "Target crashed under a call.",
            extra={
                **self.describe(),
                "crashes": count.crashes,
                "clearances": count.clearances,
                "is_new": is_new,
            },
        )

    def describe(self) -> dict[str, object]:
        """Return what the log says of the run."""
        request, call = self.watch.request, self.watch.call
        return {
            "target": self.target.incarnation,
            "request": self.digest,
            "content": compute_content_digest(request),
            "program": call.program.program,
            "path": request.path.decode("latin-1"),
            "runs": self.exchange.table.list_suspects(self.digest),
            "sends": call.progress.sends,
        }
