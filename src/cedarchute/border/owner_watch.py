"""Interrupts requests to a box whose programs another box has taken over."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eventlet
from eventlet.hubs import get_hub

from cedarchute.border.reroute_error import RerouteError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from greenlet import greenlet

    from cedarchute.membership.view import View


@dataclass(eq=False)
class OwnerWait:
    """A task that waits for a response from the owner of a partition."""

    task: greenlet
    partition: str
    owner: str


class OwnerWatch:
    """Raises `RerouteError` in tasks that wait for a box that lost ownership.

    A paused or partitioned box neither responds nor refuses connections. Without the
    interrupt a caller would wait until its deadline although another box already
    owns the program.
    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.waits: set[OwnerWait] = set()
        view.listeners.append(self.on_view_change)

    @contextmanager
    def waiting(self, partition: str, owner: str) -> Iterator[None]:
        """Interrupt the block when `owner` does not own `partition`.

        The block must only wait for the owner: the error may be raised wherever it
        yields to other tasks.
        """
        wait = OwnerWait(eventlet.getcurrent(), partition, owner)
        self.waits.add(wait)
        try:
            yield
        finally:
            self.waits.discard(wait)

    def on_view_change(self) -> None:
        """Interrupt the waits for boxes that no longer own their partition."""
        for wait in list(self.waits):
            record = self.view.partitions.get(wait.partition)
            if record is not None and record.owner != wait.owner:
                get_hub().schedule_call_global(0, self.interrupt, wait)

    def interrupt(self, wait: OwnerWait) -> None:
        """Raise the error in the task of `wait`, unless its wait has ended."""
        if wait in self.waits:
            wait.task.throw(RerouteError("the owner has changed", was_sent=True))
