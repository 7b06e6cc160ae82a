"""Gives each start of the daemon a number that is never used again."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import eventlet

from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.membership")


def take_incarnation(store: StoreClient, key: str, clock: Clock) -> int:
    """Return a number higher than that of every earlier start of the box.

    The number is at least the wall clock in seconds, so that it also goes up when
    the store was restored to an older state. A box that starts while the store is
    down waits: without a number it cannot mint ids that nobody else has.
    """
    waited = False
    while True:
        try:
            entry = store.get(key)
            last = int(json.loads(entry.value)["incarnation"]) if entry else 0
            incarnation = max(last + 1, int(clock.wall()))
            value = json.dumps({"incarnation": incarnation, "of": id(object())})
            if store.swap(key, value, entry.version if entry else 0).won:
                return incarnation
        except StoreUnavailableError as error:
            if not waited:
                log.warning("Store unavailable, waiting to start: %s", error)
            waited = True
            eventlet.sleep(0.5)
