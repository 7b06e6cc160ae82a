"""Gives each start of the daemon a number that is never used again."""

from __future__ import annotations

import json
import logging
import uuid
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.membership")

RETRY_SECONDS: Final = 0.5


def take_incarnation(store: StoreClient, key: str, clock: Clock) -> int:
    """Return a number higher than every one that the box has had.

    The number is at least the wall clock in seconds, so that it also goes up when
    the store was restored to an older state. A box that starts while the store is
    down waits: without a number it cannot mint ids that nobody else has.
    """
    waited = False
    while True:
        try:
            incarnation = try_incarnation(store, key, clock)
            if incarnation is not None:
                return incarnation
        except StoreUnavailableError as error:
            if not waited:
                log.warning("Store unavailable, waiting to start: %s", error)
            waited = True
            eventlet.sleep(RETRY_SECONDS)


def try_incarnation(store: StoreClient, key: str, clock: Clock) -> int | None:
    """Return a new number, or None when another process took one meanwhile.

    Raises
    ------
    StoreUnavailableError
        When the store does not answer; a number may be left unused.
    """
    entry = store.get(key)
    last = int(json.loads(entry.value)["incarnation"]) if entry else 0
    incarnation = max(last + 1, int(clock.wall()))
    value = json.dumps({"incarnation": incarnation, "operation": uuid.uuid4().hex})
    result = store.swap(key, value, entry.version if entry else 0)
    return incarnation if result.won else None
