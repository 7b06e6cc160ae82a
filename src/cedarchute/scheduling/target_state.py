"""What this box knows of one target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.operators.site_file import TargetSection
    from cedarchute.targets.load_report import LoadReport


@dataclass
class TargetState:
    """A target, its last load report and what this box did since.

    Attributes
    ----------
    in_flight : int
        Requests of this box that are at the target now.
    in_flight_at_report : int
        The same at the time of the last report.
    sent_tokens_since : int
        Input tokens that this box sent after the last report.
    """

    name: str
    section: TargetSection
    in_flight: int = 0
    in_flight_at_report: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent_tokens_since: int = 0
    failures: int = 0
    failing_until: float = 0.0
    probing: bool = False
    prefixes: dict[str, float] = field(default_factory=dict)

    @property
    def queued(self) -> int:
        """Requests at the target as far as this box can tell.

        Its own part is known exactly; only that of other boxes is as late as the
        report.
        """
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        return self.in_flight + max(0, reported - self.in_flight_at_report)

    def queued_tokens(self, now: float) -> float:
        """Return the input tokens that the target has yet to compute.

        What was reported and what was sent since drains at the target's rate.
        """
        if self.report is None:
            return float(self.sent_tokens_since)
        drained = (now - self.reported_at) * self.report.prefill_tokens_per_second
        known = self.report.waiting_tokens + self.sent_tokens_since
        return max(0.0, known - drained)
