"""Decides whether a broken stream goes on at another target."""

from __future__ import annotations

from cedarchute.record import Record


class BrokenStream(Record):
    """A stream whose target broke off.

    Attributes
    ----------
    is_resumable : bool
        Whether its route allows that another target goes on.
    possible_runs, max_targets : int
        Targets that ran it or may have, and how many the route allows.
    last_event_id : bytes
        Id of the last whole event that the caller got; empty before the first.
    seconds_left : float
        Time until the call times out.
    """

    is_resumable: bool
    possible_runs: int
    max_targets: int
    last_event_id: bytes
    seconds_left: float
