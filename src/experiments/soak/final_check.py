"""The promises about the time after the last fault."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

from experiments.soak.records import Kind
from experiments.soak.unserved_turns import NO_BUDGET, OK

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.final_caller import KeptTurn
    from experiments.soak.records import Records, Try

# Required bounds: from the return of all machines until callers are served, how long
# that is judged, and which shares of the requests and of the turns that takes.
RECOVERY_SECONDS: Final = 12.0
WINDOW_SECONDS: Final = 4.0
# A turn is judged that was tried within this span before it had to reach a target, by
# `RECOVERY_SECONDS` or in the last `WINDOW_SECONDS`: one turned away while holders
# started, and not tried again, shows nothing.
EARLIEST_TRY_SECONDS: Final = 6.0
LATEST_TRY_SECONDS: Final = 1.0
SERVED_SHARE: Final = 0.25
TURNS_SHARE: Final = 0.8


def check_final(
    records: Records, kept: list[KeptTurn], failed_at: float, back_at: float
) -> Iterator[str]:
    """Find whether too little is served again, and kept turns that are not.

    Parameters
    ----------
    kept : list of KeptTurn
        Turns that were answered whole before the fault, and gone on with after it.
    failed_at, back_at : float
        When the fault came, and when all machines were back, monotonic.
    """
    recovered_at = back_at + RECOVERY_SECONDS
    before = list_sent(records, failed_at - WINDOW_SECONDS, failed_at)
    after = list_sent(records, recovered_at, recovered_at + WINDOW_SECONDS)
    was_served = compute_served_share(before) >= SERVED_SHARE
    if was_served and (not after or compute_served_share(after) < SERVED_SHARE):
        served = sum(tried.status == OK for tried in after)
        yield (
            f"RECOVER {served} of {len(after)} requests were served "
            f"{RECOVERY_SECONDS:g} s after the last fault and later"
        )
    ids = {turn.id for turn in kept}
    others = [t for t in after if t.kind is Kind.TURN and t.previous not in ids]
    if compute_served_share(others) < TURNS_SHARE:
        return
    ended_at = recovered_at + WINDOW_SECONDS
    continued: defaultdict[str, list[Try]] = defaultdict(list)
    for tried in list_sent(records, failed_at, ended_at):
        continued[tried.previous].append(tried)
    for turn in kept:
        tries = continued[turn.id]
        if any(is_lost(records, tries, until) for until in (recovered_at, ended_at)):
            statuses = [tried.status for tried in tries]
            yield (
                f"LOST kept turn {turn.id} of {turn.program} reached no target within "
                f"{RECOVERY_SECONDS:g} s after the last fault: {statuses}"
            )


def is_lost(records: Records, tries: list[Try], until: float) -> bool:
    """Whether a turn was tried shortly before a moment, and had reached no target."""
    first, last = until - EARLIEST_TRY_SECONDS, until - LATEST_TRY_SECONDS
    if not any(first <= tried.sent_at <= last for tried in tries):
        return False
    return not any(is_settled(records, tried, until) for tried in tries)


def list_sent(records: Records, first: float, last: float) -> list[Try]:
    """Return the tries that were sent between two moments."""
    return [t for t in list(records.tries.values()) if first < t.sent_at <= last]


def compute_served_share(tries: list[Try]) -> float:
    """Return the share of tries that were answered with success; 0 of none."""
    return sum(tried.status == OK for tried in tries) / max(1, len(tries))


def is_settled(records: Records, tried: Try, until: float) -> bool:
    """Whether a try reached a target in time, or its program's budget was used up."""
    if tried.status == NO_BUDGET:
        return True
    return any(run.at <= until for run in records.runs.get(tried.id, []))
