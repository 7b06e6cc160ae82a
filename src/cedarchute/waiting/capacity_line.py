"""Where calls wait for a free place at a target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cedarchute.waiting.waiting_call import WaitingCall


class CapacityLine(Protocol):
    """Lets calls wait until a target may have a free place for them."""

    def wait(self, call: WaitingCall) -> None:
        """Return when the call may look for a free place again.

        Raises
        ------
        CallRefusedError
            When the call can't be served in time or too many wait; it has not run.
        ShutdownError
            When the box stops.
        """
        ...

    def is_behind(self, call: WaitingCall) -> bool:
        """Return whether calls that go before this one wait for the same service."""
        ...

    def note_free(self, service: str) -> None:
        """Record that a target of a service may have a free place."""
        ...

    def note_placed(self, call: WaitingCall, has_waited: bool) -> None:
        """Record that a call got a place, so that there may be more."""
        ...
