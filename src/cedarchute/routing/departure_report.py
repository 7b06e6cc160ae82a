"""What this box last sent to a target that leaves, and what is unanswered there."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from cedarchute.decisions.key_trust import cap_age

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarchute.calls.store_view import StoreView
    from cedarchute.metrics import Metrics
    from cedarchute.routing.target_entry import TargetEntry
    from cedarchute.routing.target_load import TargetLoad

# Ids in one log line; the count has the total.
MAX_LISTED_CALLS: Final = 16


class DepartureReport:
    """Describes the calls of a target at the moment its leaving becomes known."""

    def __init__(
        self, loads: Mapping[str, TargetLoad], view: StoreView, metrics: Metrics
    ) -> None:
        self.loads = loads
        self.view = view
        self.metrics = metrics

    def describe(self, target: TargetEntry) -> dict[str, Any]:
        """Count the unanswered calls of a target; return the log fields of its calls.

        Returns
        -------
        dict
            Ages in milliseconds: of what this box knew (`view_age_ms`), of the last
            call sent there and of the oldest unanswered one; None where there is none.
        """
        now = time.monotonic()
        fields: dict[str, Any] = {
            "view_age_ms": round(1000 * cap_age(self.view.complete_age_seconds))
        }
        load = self.loads.get(target.incarnation)
        if load is None:
            return {**fields, "last_sent_ms": None, "unanswered": 0}
        if load.leaving_known_at == float("-inf"):
            load.leaving_known_at = now
        self.metrics.count("targets.unanswered_at_leaving", len(load.unanswered))
        return {
            **fields,
            "last_sent_ms": find_age_ms(load.last_sent_at, now),
            "unanswered": len(load.unanswered),
            "oldest_unanswered_ms": find_age_ms(
                min(load.unanswered.values(), default=float("-inf")), now
            ),
            "calls": list(load.unanswered)[:MAX_LISTED_CALLS],
        }


def find_age_ms(moment: float, now: float) -> int | None:
    """Return the age of a moment in milliseconds; None for one that never was."""
    return None if moment == float("-inf") else round(1000 * (now - moment))
