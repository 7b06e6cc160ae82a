"""Runs green threads in virtual time, which advances only while all of them wait."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet
from eventlet import hubs
from eventlet.hubs.hub import BaseHub
from eventlet.patcher import original

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest


class VirtualHub(BaseHub):
    """Hub without sockets; waiting for a timer advances the clock to it."""

    @staticmethod
    def is_available():
        return True

    def __init__(self):
        self.now = 1000.0
        super().__init__(clock=lambda: self.now)

    def wait(self, seconds=None):
        if seconds and self.timers:
            self.now = max(self.now, self.timers[0][0])


def run_in_virtual_time(patch: pytest.MonkeyPatch, task: Callable[[], None]) -> None:
    """Run `task` and the green threads it starts, in a thread with its own hub."""
    failures = []

    def run():
        hubs.use_hub(VirtualHub)
        patch.setattr(time, "monotonic", hubs.get_hub().clock)
        try:
            eventlet.spawn(task).wait()
        except BaseException as error:
            failures.append(error)
        finally:
            patch.undo()

    thread = original("threading").Thread(target=run)
    thread.start()
    thread.join()
    if failures:
        raise failures[0]
