"""Requests passed on by entries in touch whose connection ended without an answer."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from experiments.soak.ending import How

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.records import Records, Try

# The required bound for a whole run, beside whatever happens to other boxes.
MOST_CUT: Final = 3
MOST_NAMED: Final = 12
# What the results call them.
CUT: Final = "cut by entries in touch"


def check_cut(records: Records) -> Iterator[str]:
    """Find whether more than `MOST_CUT` requests were passed on and then cut."""
    cut = [tried for tried in records.tries.values() if was_cut(records, tried)]
    if len(cut) <= MOST_CUT:
        return
    names = ", ".join(
        f"{tried.id} by {records.entry_names[tried.ending.entry]}"
        for tried in cut[:MOST_NAMED]
        if tried.ending is not None
    )
    yield (
        f"LOST {len(cut)} requests were cut by entries in touch, "
        f"{MOST_CUT} allowed: {names}"
    )


def count_cut(records: Records) -> Counter[str]:
    """Return how many requests were cut by entries in touch, few or many."""
    cut = sum(was_cut(records, tried) for tried in records.tries.values())
    return Counter({CUT: cut} if cut else {})


def was_cut(records: Records, tried: Try) -> bool:
    """Whether an entry in touch passed a request on and closed its connection.

    Other boxes may be disturbed meanwhile. A target is sound that means to answer and
    is in touch itself. At the timeout of its route a request has to end.
    """
    ending = tried.ending
    if ending is None or ending.sent_at is None:
        return False
    if ending.how not in (How.CLOSED, How.RESET) or ending.may_be_timeout:
        return False
    runs = records.runs.get(tried.id, [])
    if not runs:
        return False
    entry = records.entry_names.get(ending.entry)
    if entry is None or not records.contact.was_in_touch(entry, ending.ended_at):
        return False
    return all(
        run.is_sound and records.contact.was_in_touch(run.target, ending.ended_at)
        for run in runs
    )
