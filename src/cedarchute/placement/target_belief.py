"""What the boxes of a failure domain know together of a target."""

from __future__ import annotations

from cedarchute.record import Record


class TargetBelief(Record):
    """Merged reports of other boxes about one incarnation of a target.

    Attributes
    ----------
    active : float
        Calls under way there from other boxes.
    mean_seconds : float or None
        Mean duration of a call; None if no box has finished one.
    failure_share : float
        Share of calls that failed without a response.
    age_seconds : float
        Mean age of the reports.
    """

    active: float = 0.0
    mean_seconds: float | None = None
    failure_share: float = 0.0
    age_seconds: float = 0.0
