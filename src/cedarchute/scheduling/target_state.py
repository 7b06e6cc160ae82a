"""What this box knows of one target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.operators.site_file import TargetSection
    from cedarchute.targets.load_report import LoadReport

LEARNING_RATE: Final = 0.05


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
    priorities : list of int
        Those of the requests of this box that are at the target now.
    answer_tokens : float
        Mean length of the answers that this box had from it lately.
    uncached_share : float
        Share of the prompts' tokens that it had to compute lately.
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
    priorities: list[int] = field(default_factory=list)
    answer_tokens: float | None = None
    uncached_share: float = 1.0

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

    def share_ahead(self, priority: int) -> float:
        """Return which share of the target's requests goes before a priority.

        The requests of this box stand for those of the others, which it cannot see.
        """
        if not self.priorities:
            return 0.5
        ahead = sum(1 for other in self.priorities if other <= priority)
        return ahead / len(self.priorities)

    def record_completion(
        self, prompt_tokens: int, cached_tokens: int, answer_tokens: int
    ) -> None:
        """Take the counts of a finished answer into the means."""
        uncached = 1.0 - cached_tokens / prompt_tokens if prompt_tokens else 1.0
        self.uncached_share += LEARNING_RATE * (uncached - self.uncached_share)
        known = self.answer_tokens
        if known is None:
            self.answer_tokens = float(answer_tokens)
        else:
            self.answer_tokens = known + LEARNING_RATE * (answer_tokens - known)

    def queued_tokens(self, now: float) -> float:
        """Return the input tokens that the target has yet to compute.

        What was reported and what was sent since drains at the target's rate.
        """
        if self.report is None:
            return float(self.sent_tokens_since)
        drained = (now - self.reported_at) * self.report.prefill_tokens_per_second
        known = self.report.waiting_tokens + self.sent_tokens_since
        return max(0.0, known - drained)
