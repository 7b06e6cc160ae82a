"""The line of the calls that wait in this box."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Final

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.waiting.waiter import Waiter

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.waiting.line_order import LineOrder
    from cedarchute.waiting.line_refusal import LineRefusal
    from cedarchute.waiting.waiting_call import WaitingCall

log = logging.getLogger("cedarchute.calls")

# The first call of a service looks again after this long even if no call of this box
# ended: places come free by calls of other boxes and by the end of a backoff too.
FALLBACK_SECONDS: Final = 0.03


class BoxLine:
    """Lets calls wait in the order that `LineOrder` decides.

    Implements `CapacityLine`. Nothing is kept of a call once its request goes on, is
    refused or is interrupted.
    """

    def __init__(self, order: LineOrder, metrics: Metrics) -> None:
        self.order = order
        self.metrics = metrics
        self.waiters: dict[int, Waiter] = {}
        self.woken_at: dict[str, float] = {}

    def wait(self, call: WaitingCall) -> None:
        """Return when the call may look for a free place again.

        Raises
        ------
        CallRefusedError
            When the call can't be served in time or too many wait; it has not run.
        ShutdownError
            When the box stops.
        """
        began = time.monotonic()
        waiter = Waiter(call)
        self.waiters[id(call)] = waiter
        self.metrics.count("waiting.entered")
        try:
            self.tell_refused(self.order.enter(call, began))
            self.sleep(waiter)
        except BaseException:
            self.order.leave(call, time.monotonic())
            if waiter.is_woken and waiter.refusal is None:
                # Its turn would be lost with it.
                self.note_free(call.service)
            raise
        finally:
            del self.waiters[id(call)]
            self.metrics.count("waiting.left")
            self.metrics.time("waiting.seconds", time.monotonic() - began)
        if waiter.refusal is not None:
            raise waiter.refusal

    def sleep(self, waiter: Waiter) -> None:
        """Return once a waiter is woken; wake the first one when nothing else does."""
        call = waiter.call
        while not waiter.is_woken:
            now = time.monotonic()
            if now >= call.latest_start:
                self.tell_refused(self.order.refuse_late(call.service, now))
                continue
            waiter.event.wait(min(FALLBACK_SECONDS, call.latest_start - now))
            woken_at = self.woken_at.get(call.service, call.entered_at)
            if time.monotonic() - woken_at >= FALLBACK_SECONDS:
                self.note_free(call.service)

    def is_behind(self, call: WaitingCall) -> bool:
        """Return whether calls that go before this one wait for the same service."""
        return bool(self.waiters and self.order.count_ahead(call, time.monotonic()) > 0)

    def note_free(self, service: str) -> None:
        """Wake the most urgent call of a service: a target may have a free place."""
        if not self.waiters:
            return
        now = time.monotonic()
        call = self.order.take_next(service, now)
        if call is None:
            return
        self.woken_at[service] = now
        self.waiters[id(call)].wake()

    def note_placed(self, call: WaitingCall, has_waited: bool) -> None:
        """Count a call that got a place; wake the next, as there may be more."""
        self.order.record_placed(call, has_waited, time.monotonic())
        self.note_free(call.service)

    def tell_refused(self, refusals: list[LineRefusal]) -> None:
        """Wake the requests of refused calls, each with its error."""
        for refusal in refusals:
            self.metrics.count("waiting.refused")
            self.metrics.count_refusal(refusal.reason)
            self.waiters[id(refusal.call)].wake(make_error(refusal))


def make_error(refusal: LineRefusal) -> CallRefusedError:
    """Log a refusal with its inputs; return its error."""
    call = refusal.call
    rate = refusal.places_per_second
    facts = {
        "service": call.service,
        "workspace_rank": call.workspace_rank,
        "route_rank": call.route_rank,
        "under_way": call.is_under_way,
        "slack_seconds": call.slack_seconds and round(call.slack_seconds, 2),
        "ahead": refusal.ahead,
        "places_per_second": None if rate is None else round(rate, 2),
        "waited_seconds": round(time.monotonic() - call.entered_at, 3),
        "retry_after": round(refusal.retry_after_seconds, 2),
    }
    extra = {"call": call.id, "why": refusal.reason.value, **facts}
    log.info("Waiting call refused.", extra=extra)
    reason = f"no free place: {refusal.reason.value}"
    return CallRefusedError(503, reason, refusal.retry_after_seconds, facts)
