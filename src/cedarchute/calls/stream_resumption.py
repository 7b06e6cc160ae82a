"""Decides whether a broken stream goes on at another target."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# A target has to read the prompt again before its next event, and may have to finish
# other work first; with less time left it would work for nobody.
MIN_SECONDS_LEFT: Final = 0.1


class BrokenStream(Record):
    """A stream whose target broke off.

    Attributes
    ----------
    is_resumable : bool
        Whether its route allows that another target goes on.
    possible_runs, max_targets : int
        Targets that ran it or may have, and how many the route allows.
    last_event_id : bytes
        Id of the last whole event that the caller got; empty before the first, or if
        the ids do not tell where the stream stands.
    seconds_left : float
        Time until the call times out.
    """

    is_resumable: bool
    possible_runs: int
    max_targets: int
    last_event_id: bytes
    seconds_left: float


def may_resume(stream: BrokenStream) -> bool:
    """Return whether another target may go on with a stream.

    Without the id of an event to go on from, a second target would run the request
    from its start, which no streaming route allows.
    """
    if not stream.is_resumable or not stream.last_event_id:
        return False
    if stream.possible_runs >= stream.max_targets:
        return False
    return stream.seconds_left >= MIN_SECONDS_LEFT
