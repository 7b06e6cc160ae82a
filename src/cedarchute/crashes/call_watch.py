"""What is told of the runs of a call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cedarchute.relay.target_failure import TargetFailureError
    from cedarchute.routing.target_entry import TargetEntry


class CallWatch(Protocol):
    """Is told how the runs of one attempt of a caller end."""

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Take in that a target that may have run the call did not answer it."""
