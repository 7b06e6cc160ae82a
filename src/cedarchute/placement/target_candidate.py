"""One of the targets among which a call is placed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.placement.target_belief import TargetBelief
    from cedarchute.routing.target_entry import TargetEntry


class TargetCandidate(Record):
    """A target and what is known of it at the moment of a choice.

    Attributes
    ----------
    active : int
        Calls of this box under way there.
    mean_seconds : float or None
        Mean duration of this box's calls; None without any.
    failure_share : float
        Share of this box's calls that failed without a response.
    is_local : bool
        Whether it is in the failure domain of this box.
    has_connection : bool
        Whether a connection to it is open and idle.
    has_prompt : bool
        Whether it keeps the beginning of the call's prompt.
    belief : TargetBelief or None
        What other boxes know of it.
    """

    entry: TargetEntry
    active: int
    mean_seconds: float | None
    failure_share: float
    is_local: bool
    has_connection: bool
    has_prompt: bool
    belief: TargetBelief | None = None
