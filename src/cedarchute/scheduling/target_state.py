"""Load and health of one target, as seen by this box."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.operators.site_file import TargetSection
    from cedarchute.targets.load_report import LoadReport

SMOOTHING_FACTOR: Final = 0.05


@dataclass
class TargetState:
    """A target, its last load report, and the requests of this box.

    Attributes
    ----------
    in_flight : int
        Requests of this box that are running or queued at the target.
    in_flight_at_report : int
        `in_flight` at the time of the last report.
    tokens_sent_since_report : int
        Input tokens that this box has sent since the last report.
    priorities : list of int
        Priorities of the requests in flight.
    mean_answer_tokens : float or None
        Moving average of the answer length; None before the first answer.
    uncached_fraction : float
        Moving average of the fraction of prompt tokens not found in the cache.
    backoff_until : float
        Monotonic time before which a failed target gets no request, in seconds.
    probing : bool
        Whether a probe request is in flight after a backoff.
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
        """Estimated number of requests at the target, running and queued.

        The requests of this box are counted exactly, those of other boxes come
        from the last report.
        """
        if self.report is None:
            return self.in_flight
        reported = self.report.running + self.report.waiting
        return self.in_flight + max(0, reported - self.in_flight_at_report)

    def estimate_fraction_ahead(self, priority: int) -> float:
        """Return the estimated fraction of requests that go before `priority`.

        Extrapolates from the requests of this box; those of other boxes are not
        visible to it.
        """
        if not self.priorities:
            return 0.5
        ahead = sum(1 for other in self.priorities if other <= priority)
        return ahead / len(self.priorities)

    def record_completion(
        self, prompt_tokens: int, cached_tokens: int, answer_tokens: int
    ) -> None:
        """Update the moving averages with a completed answer."""
        uncached = 1.0 - cached_tokens / prompt_tokens if prompt_tokens else 1.0
        self.uncached_fraction += SMOOTHING_FACTOR * (uncached - self.uncached_fraction)
        mean = self.mean_answer_tokens
        if mean is None:
            self.mean_answer_tokens = float(answer_tokens)
        else:
            self.mean_answer_tokens = mean + SMOOTHING_FACTOR * (answer_tokens - mean)

    def estimate_pending_tokens(self, now: float) -> float:
        """Return the estimated number of input tokens that wait for prefill.

        Reported tokens and tokens sent since then drain at the reported rate.
        """
        if self.report is None:
            return float(self.tokens_sent_since_report)
        drained = (now - self.reported_at) * self.report.prefill_tokens_per_second
        pending = self.report.waiting_tokens + self.tokens_sent_since_report
        return max(0.0, pending - drained)
