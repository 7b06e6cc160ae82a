"""Makes what watches the runs of calls."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.crashes.crash_watch import CrashWatch
from cedarchute.crashes.recent_answers import RecentAnswers

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.calls.call import Call
    from cedarchute.crashes.crash_exchange import CrashExchange
    from cedarchute.crashes.life_check import LifeCheck
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.routing.target_entry import TargetEntry

log = logging.getLogger("cedarchute.crashes")


class CrashWatcher:
    """Holds what the watches of all calls share.

    Parameters
    ----------
    find_target : Callable
        Returns the entry of an incarnation, None if there is none any more.
    find_alive_at : Callable
        Returns the latest time at which an incarnation was sent a call that it
        answered.
    """

    def __init__(
        self,
        exchange: CrashExchange,
        life_check: LifeCheck,
        metrics: Metrics,
        find_target: Callable[[str], TargetEntry | None],
        find_alive_at: Callable[[str], float],
    ) -> None:
        self.exchange = exchange
        self.life_check = life_check
        self.metrics = metrics
        self.find_target = find_target
        self.find_alive_at = find_alive_at
        self.answers = RecentAnswers()

    def watch(self, request: CallerRequest, call: Call) -> CrashWatch:
        """Return what watches the runs of a call."""
        return CrashWatch(request, call, self)

    def record_alive(self, target: TargetEntry, sent_at: float) -> None:
        """Take in that a target answered a call that was sent at a time."""
        table = self.exchange.table
        if target.incarnation not in table.doubted_since:
            return
        for digest in table.clear_target(target.incarnation, sent_at):
            log.info(
                "Run cleared: its target answers.",
                extra={"request": digest, "target": target.incarnation},
            )
            self.exchange.tell(digest)
