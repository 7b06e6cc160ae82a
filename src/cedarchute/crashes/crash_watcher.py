"""Makes what watches the runs of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.crashes.crash_watch import CrashWatch

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.crashes.crash_exchange import CrashExchange
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.target_probe import TargetProbe


class CrashWatcher:
    """Holds what the watches of all calls share."""

    def __init__(
        self, exchange: CrashExchange, probe: TargetProbe, metrics: Metrics
    ) -> None:
        self.exchange = exchange
        self.probe = probe
        self.metrics = metrics

    def watch(self, request: CallerRequest, call: Call) -> CrashWatch:
        """Return what watches the runs of a call."""
        return CrashWatch(request, call, self.exchange, self.probe, self.metrics)
