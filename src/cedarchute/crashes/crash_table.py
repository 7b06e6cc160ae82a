"""The crashes of targets that a box knows of, by request."""

from __future__ import annotations

import logging
import time
from collections import Counter, OrderedDict, defaultdict
from typing import TYPE_CHECKING, Final

import msgspec

from cedarchute.crashes.crash_report import CrashReport, RunReport
from cedarchute.decisions.crash_count import NO_CRASHES, CrashCount
from cedarchute.decisions.target_run import RunState, TargetRun, list_suspects
from cedarchute.record import MutableRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

log = logging.getLogger("cedarchute.crashes")

# Longer than callers go on sending a request again. A request that was blocked by
# mistake is served again after this time.
LAPSE_SECONDS: Final = 60.0
# Requests that were on crashed targets; several times those on a failure domain.
MAX_REQUESTS: Final = 4096
# Targets that are kept for one request; a few of them decide.
MAX_TARGETS: Final = 16
DOUBTFUL: Final = frozenset((RunState.OPEN, RunState.ENDED))


class KnownRequest(MutableRecord):
    """What is known of one request.

    Attributes
    ----------
    counted_at : float
        When its last change was seen, on the monotonic clock of this box.
    runs : dict of str to TargetRun
        Its runs since the last answer, by incarnation of the target.
    open_since : dict of str to float
        When this box learnt of each open run.
    """

    count: CrashCount
    counted_at: float
    runs: dict[str, TargetRun] = msgspec.field(default_factory=dict)
    open_since: dict[str, float] = msgspec.field(default_factory=dict)


class CrashTable:
    """Counts and runs by digest of the request; the oldest ones are dropped first.

    Empty unless a target failed lately, so calls need no look-up in general.

    Attributes
    ----------
    open_at : dict of str to set of str
        Digests of the requests with an open run, by incarnation of the target.
    held : Counter
        Counted runs that this box has under way, by digest; what is known of their
        requests stays valid meanwhile, and for the usual time after the last one.
    doubted_since : dict of str to float
        When targets first ended under a request, or may have, by incarnation; until
        one is shown alive.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.known: OrderedDict[str, KnownRequest] = OrderedDict()
        self.open_at: defaultdict[str, set[str]] = defaultdict(set)
        self.doubted_since: dict[str, float] = {}
        self.held: Counter[str] = Counter()

    def __len__(self) -> int:
        self.expire()
        return len(self.known)

    def __contains__(self, digest: str) -> bool:
        return digest in self.known

    def get(self, digest: str) -> KnownRequest | None:
        """Return what is known of a request and still valid."""
        known = self.known.get(digest)
        if known is None or self.find_seconds_left(digest, known) <= 0:
            return None
        return known

    def find(self, digest: str) -> CrashCount:
        """Return the count of a request."""
        known = self.get(digest)
        return known.count if known else NO_CRASHES

    def find_block(self, digest: str) -> float | None:
        """Return for how many seconds a request must not be sent; None if it may."""
        known = self.get(digest)
        if known is None or not known.count.is_blocking:
            return None
        return self.find_seconds_left(digest, known)

    def find_lapse(self, digest: str) -> float:
        """Return for how many seconds what is known of a request is valid."""
        known = self.get(digest)
        return self.find_seconds_left(digest, known) if known else 0.0

    def list_suspects(self, digest: str) -> dict[str, RunState]:
        """Return the targets that ended under a request, or may have, or still may."""
        known = self.get(digest)
        return list_suspects(known.runs) if known else {}

    def find_seconds_left(self, digest: str, known: KnownRequest) -> float:
        """Return how long a count is valid, if no run of the request begins or ends."""
        if digest in self.held:
            return LAPSE_SECONDS
        return known.counted_at + LAPSE_SECONDS - self.clock()

    def hold(self, digest: str) -> None:
        """Take in that a run that counts is under way at this box."""
        self.held[digest] += 1

    def release(self, digest: str) -> None:
        """Take in that such a run is over."""
        if digest in self.known:
            self.touch(digest, age_seconds=0.0)
        self.held[digest] -= 1
        if not self.held[digest]:
            del self.held[digest]

    def merge(self, digest: str, count: CrashCount, age_seconds: float = 0.0) -> bool:
        """Take in a count; return whether it is larger than the known one."""
        self.expire()
        if count <= self.find(digest) or age_seconds >= LAPSE_SECONDS:
            return False
        known = self.touch(digest, age_seconds)
        if count.clearances > known.count.clearances:
            self.forget_runs(digest, known)
        known.count = count
        return True

    def note_run(self, digest: str, target: str, state: RunState) -> bool:
        """Take in how a run stands; return whether that is news."""
        self.expire()
        known = self.get(digest)
        if known is None and state is RunState.CLEARED:
            return False
        before = known.runs.get(target) if known else None
        if before is None:
            return self.set_run(digest, target, TargetRun(0, state))
        return self.set_run(digest, target, before.advance(state))

    def set_run(
        self, digest: str, target: str, run: TargetRun, age_seconds: float = 0.0
    ) -> bool:
        """Put a run in the place of an earlier one; return whether it is larger."""
        known = self.get(digest)
        before = known.runs.get(target) if known else None
        if age_seconds >= LAPSE_SECONDS or (before is not None and run <= before):
            return False
        if before is None and known is not None and not make_room(known):
            return False
        known = self.touch(digest, age_seconds)
        known.runs[target] = run
        if run.state in DOUBTFUL:
            self.doubt(target)
        elif before is not None and before.state is RunState.OPEN:
            self.doubted_since.pop(target, None)
        if run.state is RunState.OPEN:
            known.open_since[target] = self.clock()
            self.open_at[target].add(digest)
        else:
            self.forget_open(digest, known, target)
        return True

    def touch(self, digest: str, age_seconds: float) -> KnownRequest:
        """Return the entry of a request that a change of this age belongs to."""
        seen_at = self.clock() - age_seconds
        known = self.get(digest)
        if known is None:
            self.drop(digest)
            known = self.known[digest] = KnownRequest(NO_CRASHES, seen_at)
        known.counted_at = max(known.counted_at, seen_at)
        self.known.move_to_end(digest)
        if len(self.known) > MAX_REQUESTS:
            self.drop(next(iter(self.known)))
        return known

    def is_doubted(self, target: str) -> bool:
        """Return whether a target had failed and was not shown alive since."""
        self.expire()
        return target in self.doubted_since

    def doubt(self, target: str) -> None:
        """Take in that a target does not live, or may not."""
        self.doubted_since.setdefault(target, self.clock())

    def clear_target(self, target: str, sent_at: float) -> list[str]:
        """Take in that a target answered a call that was sent at a time.

        Return the requests of which a run was cleared by that.
        """
        cleared = []
        if self.doubted_since.get(target, sent_at) < sent_at:
            del self.doubted_since[target]
        for digest in list(self.open_at.get(target, ())):
            known = self.known[digest]
            if known.open_since[target] < sent_at:
                self.note_run(digest, target, RunState.CLEARED)
                cleared.append(digest)
        return cleared

    def merge_reports(self, reports: Iterable[CrashReport]) -> None:
        """Take in the reports of another box and log what is news here."""
        for report in reports:
            count = CrashCount(report.clearances, report.crashes)
            age_seconds = report.age_ms / 1000
            is_new = self.merge(report.request, count, age_seconds)
            if count.clearances == self.find(report.request).clearances:
                for run in report.runs:
                    told = TargetRun(run.generation, RunState(run.state))
                    is_new |= self.set_run(
                        report.request, run.target, told, age_seconds
                    )
            if is_new:
                log.info(
                    "Told of crashes under a request.",
                    extra={
                        "request": report.request,
                        "crashes": report.crashes,
                        "clearances": report.clearances,
                        "runs": {run.target: run.state for run in report.runs},
                        "age_ms": report.age_ms,
                    },
                )

    def list_reports(self, digests: Iterable[str]) -> tuple[CrashReport, ...]:
        """Return what is known of requests, to be told to other boxes."""
        self.expire()
        now = self.clock()
        known = [(digest, self.known[digest]) for digest in digests if digest in self]
        return tuple(
            CrashReport(
                digest,
                entry.count.clearances,
                entry.count.crashes,
                round((now - entry.counted_at) * 1000),
                tuple(
                    RunReport(target, run.generation, int(run.state))
                    for target, run in entry.runs.items()
                ),
            )
            for digest, entry in known
        )

    def list_newest(self, limit: int) -> tuple[CrashReport, ...]:
        """Return reports of the requests that changed last."""
        return self.list_reports(list(self.known)[-limit:])

    def expire(self) -> None:
        """Drop what is no longer valid."""
        while self.doubted_since:
            target, since = next(iter(self.doubted_since.items()))
            if self.clock() < since + LAPSE_SECONDS:
                break
            del self.doubted_since[target]
        while self.known:
            digest, oldest = next(iter(self.known.items()))
            if self.find_seconds_left(digest, oldest) > 0:
                return
            self.drop(digest)

    def drop(self, digest: str) -> None:
        """Drop what is known of a request."""
        known = self.known.pop(digest, None)
        if known is not None:
            self.forget_runs(digest, known)

    def forget_runs(self, digest: str, known: KnownRequest) -> None:
        """Drop all runs of a request."""
        for target in list(known.open_since):
            self.forget_open(digest, known, target)
        known.runs = {}

    def forget_open(self, digest: str, known: KnownRequest, target: str) -> None:
        """Take in that a run is no longer open."""
        if known.open_since.pop(target, None) is None:
            return
        self.open_at[target].discard(digest)
        if not self.open_at[target]:
            del self.open_at[target]


def make_room(known: KnownRequest) -> bool:
    """Drop a cleared run if there is no room for another one; return whether there is.

    More targets than are kept decide nothing that those do not.
    """
    if len(known.runs) < MAX_TARGETS:
        return True
    for target, run in known.runs.items():
        if run.state is RunState.CLEARED:
            del known.runs[target]
            return True
    return False
