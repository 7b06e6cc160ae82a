"""Keeps calls from being sent by a view of the store that is too old."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.calls.store_view import StoreView
    from cedarchute.metrics import Metrics

# How long a call waits for the store to confirm which targets are ready. The store
# answers within milliseconds; without an answer the call is worth more than the wait.
REFRESH_WAIT_SECONDS: Final = 0.25


class ViewGuard:
    """Has an old view confirmed before a call is sent by it.

    While the store gives no answer, calls are sent by what is known: nobody can tell
    the store that a target leaves then.

    Parameters
    ----------
    max_age_seconds : float
        Age of a view by which calls are sent without a question.
    """

    def __init__(
        self, view: StoreView, max_age_seconds: float, metrics: Metrics
    ) -> None:
        self.view = view
        self.max_age_seconds = max_age_seconds
        self.metrics = metrics

    @property
    def is_current(self) -> bool:
        """Whether calls may be sent by the view as it is."""
        return self.view.complete_age_seconds < self.max_age_seconds

    def wait_until_current(self) -> None:
        """Return once the view is current, or can't be made so in time."""
        if self.is_current or self.view.is_store_lost:
            return
        self.metrics.count("calls.waited_for_view")
        self.view.refresh(REFRESH_WAIT_SECONDS)
        if not self.is_current:
            self.metrics.count("calls.sent_by_old_view")
