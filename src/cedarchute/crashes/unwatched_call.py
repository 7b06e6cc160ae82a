"""A call whose runs nobody watches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cedarchute.relay.target_failure import TargetFailureError
    from cedarchute.routing.target_entry import TargetEntry


class UnwatchedCall:
    """Is never blocked, and makes nothing of how runs end; implements `CallWatch`."""

    is_suspect = False

    def list_doubted(self) -> set[str]:
        """Return none."""
        return set()

    def find_block(self) -> float | None:
        """Return None."""
        return None

    def begin_run(self, target: TargetEntry) -> bool:
        """Return True."""
        return True

    def record_not_run(self) -> None:
        """Do nothing."""

    def record_failure(self, target: TargetEntry, error: TargetFailureError) -> None:
        """Do nothing."""

    def record_answer(self, status: int) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


UNWATCHED: Final = UnwatchedCall()
