"""A request that sleeps until its call goes next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eventlet.event import Event

if TYPE_CHECKING:
    from cedarchute.calls.call_errors import CallRefusedError
    from cedarchute.waiting.waiting_call import WaitingCall


class Waiter:
    """Wakes one request, once.

    Attributes
    ----------
    is_woken : bool
        Whether the call goes next or was refused.
    refusal : CallRefusedError or None
        Why it was refused.
    """

    def __init__(self, call: WaitingCall) -> None:
        self.call = call
        self.is_woken = False
        self.refusal: CallRefusedError | None = None
        self.event = Event()

    def wake(self, refusal: CallRefusedError | None = None) -> None:
        """Let the request go on, with an error if its call is refused."""
        self.is_woken = True
        self.refusal = refusal
        self.event.send(None)
