"""A planned stop: nothing in progress is cut off."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.operators.site_file import ServiceKind
from cedarchute.ownership.hand_over import HandOver, HandOverReply
from cedarchute.peers.peer_client import PeerError
from cedarchute.platform.store_client import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.clock import Clock
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.daemon.active_requests import ActiveRequests
    from cedarchute.daemon.stop_request import StopRequest
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.view import View
    from cedarchute.ownership.partition_keeper import PartitionKeeper
    from cedarchute.peers.peer_client import PeerClient
    from cedarchute.settings.box_settings import ServingSection

log = logging.getLogger("cedarchute.stop")

POLL_SECONDS: Final = 0.1


class Stopper:
    """Leaves in steps: no new callers, homes handed over, copies moved, exit."""

    def __init__(
        self,
        keeper: LeaseKeeper,
        view: View,
        partitions: PartitionKeeper,
        client: PeerClient,
        active: Sequence[ActiveRequests],
        settings: ServingSection,
        clock: Clock,
        asked: StopRequest,
    ) -> None:
        self.keeper = keeper
        self.view = view
        self.partitions = partitions
        self.client = client
        self.active = active
        self.settings = settings
        self.clock = clock
        self.asked = asked

    def run(self) -> None:
        """Return when the process may end."""
        self.asked.wait()
        log.info("Leaving.")
        self.keeper.leave()
        # Callers may keep an old answer with this address for that long.
        eventlet.sleep(self.settings.entry_keep_seconds)
        self.hand_over_all()
        self.wait_until(self.is_holding_nothing, "copies moved")
        self.wait_until(self.is_idle, "requests answered")
        self.keeper.end()
        log.info("Left.")

    def wait_until(self, condition: object, what: str) -> bool:
        """Wait for a condition within the time to drain."""
        deadline = self.clock.monotonic() + self.settings.drain_seconds
        while not condition():  # type: ignore[operator]
            if self.clock.monotonic() > deadline:
                log.warning("Not all %s in time.", what)
                return False
            eventlet.sleep(POLL_SECONDS)
        return True

    def is_idle(self) -> bool:
        """Return whether no response is left to send."""
        return all(active.count == 0 for active in self.active)

    def is_holding_nothing(self) -> bool:
        """Return whether no partition counts on copies of this box."""
        name = self.keeper.record.holder
        if not [b for b in self.view.entries if b.name != self.keeper.record.name]:
            return True
        return not any(
            name in record.holders for record in self.view.partitions.values()
        )

    def hand_over_all(self) -> None:
        """Hand every partition over to one of its holders."""
        pool = eventlet.GreenPool(16)
        for partition in list(self.partitions.replicator.partitions.values()):
            pool.spawn_n(self.hand_over, partition)
        pool.waitall()

    def hand_over(self, partition: OwnedPartition) -> None:
        """Hand one partition over, or remove it when it has no programs.

        One whose records are still being read seems empty; it is left to its holders
        if that takes too long.
        """
        if not self.wait_until(lambda: not partition.is_recovering, "records read"):
            return
        partition.is_handing_over = True
        self.wait_until(lambda: not self.has_plain_calls(partition), "calls finished")
        if not partition.logs:
            try:
                self.partitions.remove(partition)
            except StoreUnavailableError:
                log.warning("Record of %s stays in the store.", partition.name)
            return
        self.wait_until(lambda: self.offer(partition), "homes handed over")

    def has_plain_calls(self, partition: OwnedPartition) -> bool:
        """Return whether a call is under way that no other box could go on with."""
        return any(
            entry.kind is ServiceKind.PLAIN
            for program in list(self.partitions.home.programs.values())
            if program.partition is partition
            for entry in program.open_calls
        )

    def offer(self, partition: OwnedPartition) -> bool:
        """Ask the holders, in turn, to take a partition over."""
        for holder in partition.record.holders:
            box = self.view.find_holder(holder)
            if box is None or box.is_leaving:
                continue
            message = HandOver(partition=partition.name)
            try:
                reply = self.client.send(
                    box.peer_address, "hand-over", message, HandOverReply
                )
            except PeerError:
                continue
            if reply.taken:
                partition.lose()
                self.partitions.home.drop_partition(partition)
                log.info("Handed %s over to %s.", partition.name, box.name)
                return True
        return False
