"""Unique, increasing incarnation numbers for the starts of a box."""

from __future__ import annotations

import json
import logging
import uuid
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.clock import Clock
    from cedarchute.platform.store_client import StoreClient

log = logging.getLogger("cedarchute.membership")

RETRY_SECONDS: Final = 0.5


def take_incarnation(
    store: StoreClient,
    key: str,
    clock: Clock,
    pause: Callable[[float], None] = eventlet.sleep,
) -> int:
    """Return a number higher than all earlier incarnations of the box.

    Blocks while the store is unavailable, because the ids that the box creates are
    unique only with a new incarnation. The number is at least the wall clock in
    seconds, so that it increases even if the store was restored from a backup.

    Parameters
    ----------
    pause : Callable
        Waits for some seconds before the next try; may raise to give up.
    """
    has_logged = False
    while True:
        try:
            incarnation = try_incarnation(store, key, clock)
            if incarnation is not None:
                return incarnation
        except StoreUnavailableError as error:
            if not has_logged:
                log.warning("Store unavailable, waiting to start: %s", error)
            has_logged = True
            pause(RETRY_SECONDS)


def try_incarnation(store: StoreClient, key: str, clock: Clock) -> int | None:
    """Return a new number, or None if a concurrent write to `key` won.

    Raises
    ------
    StoreUnavailableError
        If the store does not respond; a number may be left unused.
    """
    entry = store.get(key)
    last = int(json.loads(entry.value)["incarnation"]) if entry else 0
    incarnation = max(last + 1, int(clock.wall()))
    value = json.dumps({"incarnation": incarnation, "operation": uuid.uuid4().hex})
    result = store.swap(key, value, entry.version if entry else 0)
    return incarnation if result.won else None
