"""What is told of the runs of a call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cedarchute.relay.target_failure import TargetFailureError
    from cedarchute.routing.target_entry import TargetEntry


class CallWatch(Protocol):
    """Is told how the runs of one attempt of a caller end."""

    @property
    def is_suspect(self) -> bool:
        """Whether targets crashed one after the other under the request."""

    def list_doubted(self) -> set[str]:
        """Return the ids of targets that the call should rather not be sent to."""

    def find_block(self) -> float | None:
        """Return for how many seconds the call must not be sent; None if it may.

        May wait for a moment for what decides it.
        """

    def begin_run(self, target: TargetEntry) -> bool:
        """Take in that the call is sent to a target now; return whether it may be."""

    def record_not_run(self) -> None:
        """Take in that the target did not run the call."""

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Take in that a target that may have run the call did not answer it."""

    def record_answer(self, status: int) -> None:
        """Take in that a target answered the call in full, with `status`."""

    def close(self) -> None:
        """Take in that the call is over; its caller left a run without an end."""
