"""A call whose runs nobody watches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.relay.target_failure import TargetFailureError
    from cedarchute.routing.target_entry import TargetEntry


class UnwatchedCall:
    """Makes nothing of how runs end."""

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Do nothing."""


UNWATCHED: Final = UnwatchedCall()
