"""Keeps the long-lived tasks of a box alive."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.supervisor")

# Between a failure of a task and its next start: a fault that stays costs two lines of
# the log a second, and one that passes is over before a lease runs out.
RESTART_SECONDS: Final = 0.5


class Supervisor:
    """Starts tasks; one that fails is logged, counted and started again."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def start(
        self, name: str, task: Callable[[], None]
    ) -> eventlet.greenthread.GreenThread:
        """Run `task` in a task of its own until it returns or is killed."""
        return eventlet.spawn(self.keep_running, name, task)

    def keep_running(self, name: str, task: Callable[[], None]) -> None:
        """Run `task` until it returns, anew after each failure."""
        while True:
            try:
                task()
                return
            except Exception:
                self.metrics.count("tasks.failed")
                log.exception(
                    "Task failed and starts again.",
                    extra={"task": name, "after_seconds": RESTART_SECONDS},
                )
                eventlet.sleep(RESTART_SECONDS)
