"""Interrupts a wait for a home when another box has taken its programs over."""

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
class Wait:
    """A task that waits for an answer from the owner of a partition."""

    task: greenlet
    partition: str
    owner: str


class OwnerWatch:
    """Throws `RerouteError` into the tasks that wait for a box that lost.

    A paused box, or one behind a cut link, neither answers nor refuses. Without
    this a caller would wait for it until its deadline although another box has
    its programs already.
    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.waits: set[Wait] = set()
        view.listeners.append(self.on_view)

    @contextmanager
    def waiting(self, partition: str, owner: str) -> Iterator[None]:
        """Run the block, interrupted when `owner` does not own `partition`.

        The block must do nothing but wait for the owner: the error may come out
        of any point at which it yields to other tasks.
        """
        wait = Wait(eventlet.getcurrent(), partition, owner)
        self.waits.add(wait)
        try:
            yield
        finally:
            self.waits.discard(wait)

    def on_view(self) -> None:
        """Look which waits are in vain."""
        for wait in list(self.waits):
            record = self.view.partitions.get(wait.partition)
            if record is not None and record.owner != wait.owner:
                get_hub().schedule_call_global(0, self.interrupt, wait)

    def interrupt(self, wait: Wait) -> None:
        """Throw into the task of `wait`, unless it has gone on."""
        if wait in self.waits:
            wait.task.throw(RerouteError("the owner has changed", was_sent=True))
