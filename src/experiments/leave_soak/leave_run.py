"""One run of a seed: targets leave beside faults, then the check."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from experiments.leave_soak.callers import LeaveCaller
from experiments.leave_soak.fault_player import STORE, FaultPlayer
from experiments.leave_soak.leave_site import LeaveSite

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from experiments.leaving_target import LeavingTarget

# The users' DrainMs and ContactMs.
LEAVE_SECONDS: Final = 2.0
CONTACT_SECONDS: Final = 3.0
OK: Final = 200
ONCE: Final = b"/once/"
AGAIN: Final = b"/again/"


@dataclass
class LeaveSoakResult:
    """How one run ended.

    Attributes
    ----------
    calls, answered : int
        Calls of all callers, and how many got an answer of a target.
    sent_late : int
        Calls sent later than the bound, by boxes that the users' rules excuse too.
    read_late : int
        Calls read later than the bound.
    """

    seed: int
    events: int = 0
    left: int = 0
    calls: int = 0
    answered: int = 0
    sent_late: int = 0
    read_late: int = 0
    broken: list[str] = field(default_factory=list)


def play_seed(
    seed: int, seconds: float, entries: int, targets: int, folder: Path
) -> LeaveSoakResult:
    """Play a seed, and check what boxes sent and targets read."""
    site = LeaveSite(folder, entries, targets)
    result = LeaveSoakResult(seed)
    try:
        site.start()
        callers = [
            LeaveCaller(site, box, path)
            for box in site.entries
            for path in (ONCE, AGAIN)
        ]
        player = FaultPlayer(site, seed)
        for caller in callers:
            caller.thread.start()
        player.play(seconds)
        for caller in callers:
            caller.going = False
        for caller in callers:
            caller.thread.join()
    finally:
        site.nodes.stop()
    result.events = player.count
    check(result, site, callers, player)
    return result


def check(
    result: LeaveSoakResult,
    site: LeaveSite,
    callers: list[LeaveCaller],
    player: FaultPlayer,
) -> None:
    """Find calls that came late to a target that left, ran twice or were cut off."""
    statuses = {}
    for caller in callers:
        statuses.update(caller.statuses)
    result.calls = len(statuses)
    result.answered = sum(status == OK for status in statuses.values())
    result.left = len(site.left)
    for target in site.left:
        check_target(result, site, target, player, statuses)
    reads = Counter(
        read.call_id for target in site.list_all() for read in target.list_reads()
    )
    result.broken += [
        f"TWICE {call_id} was read {count} times"
        for call_id, count in reads.items()
        if count > 1 and ".once." in call_id
    ]


def check_target(
    result: LeaveSoakResult,
    site: LeaveSite,
    target: LeavingTarget,
    player: FaultPlayer,
    statuses: dict[str, int],
) -> None:
    """Check one target that left."""
    until = target.left_at + LEAVE_SECONDS
    disturbances = player.disturbances
    since = target.left_at - CONTACT_SECONDS
    sends = target.list_sends(site.entries)
    for send in sends:
        if send.at <= until:
            continue
        result.sent_late += 1
        is_excused = disturbances.has(
            send.box, send.at - CONTACT_SECONDS, send.at
        ) or disturbances.has(STORE, since, send.at)
        if not is_excused:
            late = send.at - target.left_at
            result.broken.append(f"SENT {send} {late:.2f} s after {target.id} left")
    in_time = {send.call_id for send in sends if send.at <= until}
    for read in target.list_reads(until):
        result.read_late += 1
        is_excused = disturbances.has(target.id, since, read.at) or disturbances.has(
            STORE, since, read.at
        )
        if read.call_id in in_time and not is_excused:
            late = read.at - target.left_at
            result.broken.append(f"READ {read} {late:.2f} s after {target.id} left")
    check_cut(result, target, disturbances.has, statuses)


def check_cut(
    result: LeaveSoakResult,
    target: LeavingTarget,
    is_disturbed: Callable[[str, float, float], bool],
    statuses: dict[str, int],
) -> None:
    """Find once-only calls that a target read after it left and that got no answer."""
    for read in target.list_reads(target.left_at):
        box, kind, _ = read.call_id.split(".")
        status = statuses.get(read.call_id, 0)
        span = (read.at - CONTACT_SECONDS, read.at + CONTACT_SECONDS)
        if kind != "once" or status == OK:
            continue
        if not is_disturbed(box, *span) and not is_disturbed(target.id, *span):
            result.broken.append(f"CUT {read.call_id} at {target.id}: {status}")
