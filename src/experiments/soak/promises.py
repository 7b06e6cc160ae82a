"""The promises, checked from what callers and back ends saw."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from experiments.soak.cut_requests import check_cut
from experiments.soak.records import Kind
from experiments.soak.unanswered import check_unanswered
from experiments.soak.unserved_turns import check_turns
from experiments.soak.workspaces import (
    BURST,
    CALLS_PER_SECOND,
    LIMITED,
    LIMITED_KEY,
    OVERRUN,
    REVOKE_SECONDS,
    SLACK,
    WINDOW_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from experiments.soak.records import Records, Try

OK: Final = 200
NOT_FOUND: Final = 404
# These say that a call has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((402, 408, 421, 429, 503))


def find_broken(records: Records, most_tokens: int, places: int) -> list[str]:
    """Return a line for each promise that was broken.

    Parameters
    ----------
    most_tokens : int
        The most that one turn may be handed; a program may pass its budget by that.
    places : int
        How many turns all targets run at a time.
    """
    return [
        *check_runs(records),
        *check_answers(records),
        *check_chains(records),
        *check_budgets(records, most_tokens),
        *check_keys(records),
        *check_limit(records),
        *check_unanswered(records),
        *check_cut(records),
        *check_turns(records, places),
    ]


def check_runs(records: Records) -> Iterator[str]:
    """Find what ran unasked, and what may not repeat and ran twice."""
    for call_id, runs in records.runs.items():
        tried = records.tries.get(call_id)
        if tried is None:
            yield f"UNASKED {call_id} ran at {runs[0].target}, and no caller sent it"
            continue
        if tried.kind is not Kind.AGAIN and len(runs) > 1:
            targets = ", ".join(run.target for run in runs)
            yield f"TWICE {call_id} ({tried.kind}) ran at {targets}"
        if tried.kind is Kind.TURN:
            continue
        if any(run.body != tried.input for run in runs):
            yield f"UNASKED {call_id} ran with another body"


def check_answers(records: Records) -> Iterator[str]:
    """Find answers that are not their caller's own, and calls refused that ran."""
    for tried in records.tries.values():
        runs = records.runs.get(tried.id, [])
        if tried.status == OK and tried.answer not in {run.produced for run in runs}:
            yield f"MIXED {tried.id} ({tried.kind}) got what none of its runs made"
        if tried.status in NOT_RUN_STATUSES and runs:
            yield f"REFUSED {tried.id} got {tried.status}, yet ran at {runs[0].target}"


def check_chains(records: Records) -> Iterator[str]:
    """Find turns that ran with another history, and kept turns that were denied."""
    for tried in records.tries.values():
        if tried.kind is not Kind.TURN:
            continue
        previous = records.tries.get(tried.previous)
        is_kept = previous is not None and previous.status == OK
        if tried.status == NOT_FOUND and is_kept:
            yield f"LOST {tried.id} got 404 for the kept turn {tried.previous}"
        text = read_chain(records, tried) + tried.input
        for run in records.runs.get(tried.id, []):
            if run.body != text:
                yield f"UNASKED turn {tried.id} ran with another history"


def read_chain(records: Records, tried: Try) -> bytes:
    """Return the inputs and outputs that a turn goes on from."""
    parts: list[bytes] = []
    previous = records.tries.get(tried.previous)
    while previous is not None:
        parts.append(previous.input + read_output(previous.answer))
        previous = records.tries.get(previous.previous)
    return b"".join(reversed(parts))


def read_output(stream: bytes) -> bytes:
    """Return the data of a stream's events, each with a line feed behind."""
    lines = [line for line in stream.split(b"\n") if line.startswith(b"data: ")]
    return b"".join(line.removeprefix(b"data: ") + b"\n" for line in lines)


def check_budgets(records: Records, most_tokens: int) -> Iterator[str]:
    """Find programs handed more than their budget and the most of one turn."""
    handed: Counter[str] = Counter()
    for tried in records.tries.values():
        handed[tried.program] += tried.tokens
    for program, budget in records.budgets.items():
        if handed[program] > budget + most_tokens:
            yield f"BUDGET {program} was handed {handed[program]} of {budget} tokens"


def check_keys(records: Records) -> Iterator[str]:
    """Find calls that ran for another workspace, or with a key that was long gone."""
    for tried in records.tries.values():
        if not tried.key:
            continue
        workspace = LIMITED if tried.key == LIMITED_KEY else "main"
        gone_at = records.passing.gone_at.get(tried.key, float("inf"))
        for run in records.runs.get(tried.id, []):
            if run.workspace != workspace:
                yield f"UNASKED {tried.id} ran for the workspace {run.workspace!r}"
            if tried.sent_at > gone_at + REVOKE_SECONDS:
                seconds = round(tried.sent_at - gone_at, 3)
                yield f"REVOKED {tried.id} ran {seconds} s after its key was taken away"


def check_limit(records: Records) -> Iterator[str]:
    """Find spans in which the limited workspace ran more calls than it may."""
    within = CALLS_PER_SECOND * WINDOW_SECONDS + BURST
    most = within * (1 + OVERRUN) + SLACK
    runs = [run for some in records.runs.values() for run in some]
    limited = sorted(
        (run for run in runs if run.workspace == LIMITED), key=lambda run: run.at
    )
    first = 0
    for number, run in enumerate(limited):
        while run.at - limited[first].at > WINDOW_SECONDS:
            first += 1
        within_window = limited[first : number + 1]
        if len(within_window) > most:
            calls = len({run.id for run in within_window})
            yield (
                f"QUOTA {len(within_window)} runs of {calls} calls in "
                f"{WINDOW_SECONDS} s, {most:.0f} allowed"
            )
            return
