"""Polls the platform's list of live and draining boxes, which may be stale."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet
import urllib3
from pydantic import BaseModel, ConfigDict, ValidationError

from cedarchute.host_pools import HostPools

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.scheduling.target_directory import TargetDirectory

log = logging.getLogger("cedarchute.platform")

PERIOD_SECONDS: Final = 2.0
TIMEOUT_SECONDS: Final = 2.0


class ListedBox(BaseModel):
    """One entry of the list: a box or a target."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    state: str


class BoxListing(BaseModel):
    """The response to a request for the list."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    boxes: tuple[ListedBox, ...]


class BoxListWatcher:
    """Records which boxes are draining; absence from the list is ignored."""

    def __init__(
        self,
        address: Address,
        box: str,
        view: View,
        book: TargetDirectory,
        on_leaving: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self.address = address
        self.box = box
        self.view = view
        self.book = book
        self.on_leaving = on_leaving
        self.metrics = metrics
        self.pools = HostPools(1, hosts=1)

    def watch_forever(self) -> None:
        """Read the list every `PERIOD_SECONDS`."""
        while True:
            self.read_once()
            eventlet.sleep(PERIOD_SECONDS)

    def read_once(self) -> None:
        """Read the list once; on failure, keep the previous state."""
        try:
            response = self.pools.request(
                "GET", self.address, "/boxes", timeout=TIMEOUT_SECONDS
            )
            listing = BoxListing.model_validate_json(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValidationError) as error:
            self.metrics.count("platform.box_list_failed")
            log.debug("Box list not read: %s", error)
            return
        leaving = frozenset(b.name for b in listing.boxes if b.state == "leaving")
        self.view.set_platform_leaving(leaving)
        self.book.platform_draining = leaving
        if self.box in leaving:
            log.info("The platform lists this box as leaving.")
            self.on_leaving()
