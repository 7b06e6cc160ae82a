"""Requests that ended without an answer while nothing unplanned happened."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from enum import StrEnum
from time import monotonic, time
from typing import TYPE_CHECKING, Final

from experiments.soak.contact import CONTACT_SECONDS
from experiments.soak.ending import How

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.ending import Ending
    from experiments.soak.records import Records, Try

# Required bound on the time from the last byte of a request within which it may cross
# a close.
CROSSING_SECONDS: Final = 0.2


class Unanswered(StrEnum):
    """Why a request without a whole answer is judged as it is."""

    AFTER_RUN = "after it ran"
    HELD = "held"
    NEW_CONNECTION = "first of its connection"
    AT_CLOSE = "UNANSWERED-AT-CLOSE"
    CLOSED_BEFORE = "sent after the close"
    NOT_WHOLE = "not sent whole"
    GIVEN_UP = "given up by its caller"
    TARGET = "broken off by its target"
    TIMEOUT = "beyond its timeout"
    DISTURBED = "beside an unplanned fault"


BROKEN: Final = frozenset(
    (Unanswered.AFTER_RUN, Unanswered.HELD, Unanswered.NEW_CONNECTION)
)


def check_unanswered(records: Records) -> Iterator[str]:
    """Find requests that were sent whole and whose connection ended unanswered.

    Judged are those without an unplanned fault from `CONTACT_SECONDS` before the last
    byte until the end. A clean close, a reset and an answer that breaks off count
    alike. Broken is the promise for a request

    - that ran at a target,
    - that ended later than `CROSSING_SECONDS` after its last byte, run or not,
    - that was the first of a connection which the entry itself had taken, sent before
      a close had arrived, unless it crossed the close of an idle connection: the entry
      had been asked to stop, and for longer than `CROSSING_SECONDS` the connection had
      been open without a request.

    Any other that ended sooner crossed the close of its connection. It is counted
    as `Unanswered.AT_CLOSE`, or `Unanswered.CLOSED_BEFORE` when the close had arrived
    before it was sent; neither breaks the promise. Not judged but counted are those
    not sent whole, given up by their caller, run by a target that broke off, or ended
    beyond the timeout of their route. A refused connection is no request.
    """
    clock = time() - monotonic()
    for tried in records.tries.values():
        why = judge(records, tried)
        if why in BROKEN and tried.ending is not None:
            what = describe(records, tried, tried.ending, why, clock)
            yield f"LOST {tried.id} {what}"


def count_unanswered(records: Records) -> Counter[str]:
    """Return how many requests ended without an answer, by how they are judged."""
    verdicts = (judge(records, tried) for tried in records.tries.values())
    return Counter(str(why) for why in verdicts if why is not None)


def judge(records: Records, tried: Try) -> Unanswered | None:
    """Return how a request is judged that got no whole answer, else None."""
    ending = tried.ending
    if ending is None or ending.how is How.ANSWERED:
        return None
    if ending.sent_at is None:
        return Unanswered.NOT_WHOLE
    if records.was_disturbed(ending.sent_at - CONTACT_SECONDS, ending.ended_at):
        return Unanswered.DISTURBED
    if ending.how is How.GIVEN_UP:
        return Unanswered.GIVEN_UP
    runs = records.runs.get(tried.id, [])
    if any(not run.is_sound for run in runs):
        return Unanswered.TARGET
    seconds = ending.ended_at - ending.sent_at
    if ending.may_be_timeout:
        return Unanswered.TIMEOUT
    if runs:
        return Unanswered.AFTER_RUN
    if seconds > CROSSING_SECONDS:
        return Unanswered.HELD
    if ending.was_closed:
        return Unanswered.CLOSED_BEFORE
    is_first = ending.number == 0 and ending.is_direct
    if is_first and not is_idle_close(records, ending, ending.sent_at):
        return Unanswered.NEW_CONNECTION
    return Unanswered.AT_CLOSE


def is_idle_close(records: Records, ending: Ending, sent_at: float) -> bool:
    """Whether a first request came so late that a stopping entry took none for due."""
    if ending.idle_seconds <= CROSSING_SECONDS:
        return False
    entry = records.entry_names.get(ending.entry, "")
    return records.contact.was_stopping(entry, sent_at)


def describe(
    records: Records, tried: Try, ending: Ending, why: Unanswered, clock: float
) -> str:
    """Return what is known of a request that ended without an answer.

    Parameters
    ----------
    clock : float
        What added to monotonic time gives the time of day.
    """
    assert ending.sent_at is not None
    targets = [run.target for run in records.runs.get(tried.id, [])]
    seconds = round(ending.ended_at - ending.sent_at, 3)
    ended = datetime.fromtimestamp(ending.ended_at + clock, UTC).isoformat()
    return (
        f"({tried.kind}, {why}) was {ending.how} by {ending.entry} at {ended}, "
        f"{seconds} s after its last byte, with {ending.answer_bytes} bytes of an "
        f"answer; {ending.number} requests before it; ran at {targets or 'none'}"
    )
