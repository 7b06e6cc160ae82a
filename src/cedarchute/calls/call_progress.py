"""How far a call has come, for the log line of its end."""

from __future__ import annotations

from cedarchute.record import MutableRecord


class CallProgress(MutableRecord):
    """Updated while a call is handled.

    Attributes
    ----------
    sends : int
        How many times the call was sent to a target.
    last_target : str
        Incarnation of the target that it was sent to last; empty if it was not sent.
    chosen_at : float
        Monotonic time at which that target was chosen.
    is_preferred : bool
        Whether that target caches the prompt of the call.
    """

    sends: int = 0
    last_target: str = ""
    chosen_at: float = 0.0
    is_preferred: bool = False
