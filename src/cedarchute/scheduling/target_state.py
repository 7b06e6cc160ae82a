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
    sent_since : int
        Requests that this box sent after the last report was asked for; the
        report cannot count them yet.
    sent_tokens_since : int
        Input tokens of those requests that the target has to compute.
    """

    name: str
    section: TargetSection
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent_since: int = 0
    sent_tokens_since: int = 0
    failures: int = 0
    failing_until: float = 0.0
    probing: bool = False
    prefixes: dict[str, float] = field(default_factory=dict)

    @property
    def queued(self) -> int:
        """Requests at the target as far as this box can tell."""
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        return max(self.in_flight, reported + self.sent_since)

    @property
    def queued_tokens(self) -> int:
        """Input tokens that the target has yet to compute."""
        reported = self.report.waiting_tokens if self.report else 0
        return reported + self.sent_tokens_since
