"""Turns that go on from a kept one and reach no target, again and again."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

from experiments.soak.contact import CONTACT_SECONDS
from experiments.soak.records import Kind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.records import Records, Try

OK: Final = 200
NO_BUDGET: Final = 402
# The required bounds: tries of one turn at entries in touch, the share of first turns
# that reach a target meanwhile, and how much of the targets' places is taken.
MOST_TRIES: Final = 4
SERVED_SHARE: Final = 0.9
FULL_SHARE: Final = 0.5
# First turns are compared that were sent this long before and behind as well.
AROUND_SECONDS: Final = 1.0


def check_turns(records: Records, places: int) -> Iterator[str]:
    """Find kept turns that reached no target although targets had room.

    Parameters
    ----------
    places : int
        How many turns all targets run at a time.
    """
    for turn, tries in list_continued(records).items():
        if has_run(records, tries):
            continue
        counted = [tried for tried in tries if counts(records, tried, places)]
        if len(counted) <= MOST_TRIES or not are_first_served(records, counted):
            continue
        statuses = [tried.status for tried in counted]
        yield (
            f"LOST turn {turn} of the kept {counted[0].previous} reached no target in "
            f"{len(counted)} tries at entries in touch: {statuses}"
        )


def list_continued(records: Records) -> dict[str, list[Try]]:
    """Return the tries of each turn that goes on from one that was answered whole."""
    turns: defaultdict[str, list[Try]] = defaultdict(list)
    for tried in records.tries.values():
        previous = records.tries.get(tried.previous)
        if tried.kind is Kind.TURN and previous is not None and previous.status == OK:
            turns[tried.turn or tried.id].append(tried)
    return turns


def has_run(records: Records, tries: list[Try]) -> bool:
    """Whether a turn reached a target in any of its tries."""
    return any(records.runs.get(tried.id) for tried in tries)


def counts(records: Records, tried: Try, places: int) -> bool:
    """Whether a try was at an entry in touch, undisturbed, while targets had room.

    An entry that is stopping turns away what could outlast its stop, and callers have
    others to go to.
    """
    ending = tried.ending
    if ending is None or ending.sent_at is None or tried.status == NO_BUDGET:
        return False
    entry = records.entry_names.get(ending.entry)
    if entry is None:
        return False
    if not records.contact.was_in_touch(entry, ending.sent_at, ending.ended_at):
        return False
    if records.contact.was_stopping(entry, ending.sent_at):
        return False
    if records.was_disturbed(ending.sent_at - CONTACT_SECONDS, ending.ended_at):
        return False
    return count_running(records, ending.sent_at) < FULL_SHARE * places


def count_running(records: Records, at: float) -> int:
    """Return how many turns the targets were running."""
    return sum(
        run.at <= at < records.run_ends.get((run.id, run.target), float("inf"))
        for runs in records.runs.values()
        for run in runs
        if run.is_turn
    )


def are_first_served(records: Records, tries: list[Try]) -> bool:
    """Whether nearly all first turns that were sent meanwhile reached a target."""
    began = tries[0].sent_at - AROUND_SECONDS
    ended = tries[-1].sent_at + AROUND_SECONDS
    first = [
        tried
        for tried in records.tries.values()
        if tried.kind is Kind.TURN
        and not tried.previous
        and tried.ending is not None
        and began <= tried.sent_at <= ended
    ]
    served = sum(bool(records.runs.get(tried.id)) for tried in first)
    return served >= SERVED_SHARE * len(first)
