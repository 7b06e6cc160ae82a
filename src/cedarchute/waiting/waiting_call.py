"""A call that waits for a free place at a target."""

from __future__ import annotations

from cedarchute.record import Record


class WaitingCall(Record):
    """What decides when a waiting call goes next.

    Attributes
    ----------
    id : str
        Id of the call.
    service : str
        The service at which it waits for a place.
    workspace_rank, route_rank : int
        0 is the most urgent.
    is_under_way : bool
        Whether its program has begun before.
    slack_seconds : float or None
        Time left until the soft deadline of its program, less what it still needs.
    entered_at, deadline : float
        Monotonic times at which it began to wait and at which it times out.
    latest_start : float
        Monotonic time until which it may wait, not after its deadline.
    """

    id: str
    service: str
    workspace_rank: int
    route_rank: int
    is_under_way: bool
    slack_seconds: float | None
    entered_at: float
    deadline: float
    latest_start: float
