"""What this box knows of one target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.operators.site_file import TargetSection
    from cedarchute.targets.load_report import LoadReport

SMOOTHING_FACTOR: Final = 0.05


@dataclass
class TargetState:
    """A target, its last load report and what this box did since.

    Attributes
    ----------
    in_flight : int
        Requests of this box that are at the target now.
    in_flight_at_report : int
        The same at the time of the last report.
    tokens_sent_since_report : int
        Input tokens that this box sent after the last report.
    priorities : list of int
        Those of the requests of this box that are at the target now.
    mean_answer_tokens : float
        Mean length of the answers that this box had from it lately.
    uncached_fraction : float
        Share of the prompts' tokens that it had to compute lately.
    """

    name: str
    section: TargetSection
    in_flight: int = 0
    in_flight_at_report: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    tokens_sent_since_report: int = 0
    failures: int = 0
    backoff_until: float = 0.0
    probing: bool = False
    priorities: list[int] = field(default_factory=list)
    mean_answer_tokens: float | None = None
    uncached_fraction: float = 1.0

    @property
    def outstanding_requests(self) -> int:
        """Requests at the target as far as this box can tell.

        Its own part is known exactly; only that of other boxes is as late as the
        report.
        """
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        return self.in_flight + max(0, reported - self.in_flight_at_report)

    def estimate_fraction_ahead(self, priority: int) -> float:
        """Return which share of the target's requests goes before a priority.

        The requests of this box stand for those of the others, which it cannot see.
        """
        if not self.priorities:
            return 0.5
        ahead = sum(1 for other in self.priorities if other <= priority)
        return ahead / len(self.priorities)

    def learn(self, prompt_tokens: int, cached_tokens: int, answer_tokens: int) -> None:
        """Take the counts of a finished answer into the means."""
        uncached = 1.0 - cached_tokens / prompt_tokens if prompt_tokens else 1.0
        self.uncached_fraction += SMOOTHING_FACTOR * (uncached - self.uncached_fraction)
        mean = self.mean_answer_tokens
        if mean is None:
            self.mean_answer_tokens = float(answer_tokens)
        else:
            self.mean_answer_tokens = mean + SMOOTHING_FACTOR * (answer_tokens - mean)

    def estimate_pending_tokens(self, now: float) -> float:
        """Return the input tokens that the target has yet to compute.

        What was reported and what was sent since drains at the target's rate.
        """
        if self.report is None:
            return float(self.tokens_sent_since_report)
        drained = (now - self.reported_at) * self.report.prefill_tokens_per_second
        pending = self.report.waiting_tokens + self.tokens_sent_since_report
        return max(0.0, pending - drained)
