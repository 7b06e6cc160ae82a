"""Failure detection for the owners of partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from cedarchute.membership.view import REFUSALS_NEEDED
from cedarchute.peers.heartbeat import (
    Acknowledged,
    Heartbeat,
    HeartbeatReply,
    Suspicion,
)
from cedarchute.peers.peer_client import PeerError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.copies.holder import Holder
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.partition_record import PartitionRecord
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.peers.peer_client import PeerClient


class OwnerCheck:
    """Combines store records, heartbeats and holder traffic to detect failed owners.

    Only refused connections or a later incarnation confirm that a process has ended.
    A missing record does not, because the store may have lost its leases.
    """

    def __init__(
        self,
        view: View,
        keeper: LeaseKeeper,
        holder: Holder,
        client: PeerClient,
        takeover_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.keeper = keeper
        self.holder = holder
        self.client = client
        self.takeover_seconds = takeover_seconds
        self.clock = clock
        self.metrics = metrics
        self.missing_since: dict[str, float] = {}

    def is_confirmed_gone(self, owner: str) -> bool:
        """Return whether the owner's process has certainly ended."""
        if self.view.is_replaced(owner):
            return True
        return self.view.is_refusing(owner)

    def is_missing(self, record: PartitionRecord) -> bool:
        """Return whether the owner is presumed failed.

        For `takeover_seconds`, its record has been missing from the store and this
        box's holder has not heard of it; and a heartbeat fails or has no address.
        """
        owner = record.owner
        name = owner.rpartition(".")[0]
        box = self.view.boxes.get(name)
        if box is not None and box.identity == owner:
            self.missing_since.pop(owner, None)
            return False
        now = self.clock.monotonic()
        since = self.missing_since.setdefault(owner, now)
        copy = self.holder.partitions.get(record.partition)
        received_at = copy.received_at if copy else float("-inf")
        if now - max(since, received_at) < self.takeover_seconds:
            return False
        known = self.view.find_box(owner)
        return known is None or not self.answers(known)

    def answers(self, box: BoxRecord) -> bool:
        """Return whether the process of `box` replies to a heartbeat."""
        message = Heartbeat(box=self.keeper.record, revision=0, digest="")
        try:
            reply = self.client.send(
                box.peer_address, "heartbeat", message, HeartbeatReply
            )
        except PeerError as error:
            if error.refused:
                self.view.on_refused(box.identity)
            return False
        if reply.box.identity != box.identity:
            return False
        self.view.on_heard(box.identity)
        return True

    def suspect(self, box: BoxRecord) -> None:
        """Report a refused connection of a box to the holders of its partitions."""
        self.view.on_refused(box.identity)
        notified = set()
        for record in self.view.partitions.values():
            if record.owner != box.identity:
                continue
            for holder in record.holders:
                peer = self.view.find_holder(holder)
                if peer is None or peer.name in notified:
                    continue
                notified.add(peer.name)
                if peer.name == self.keeper.record.name:
                    self.probe_suspect(box.identity)
                else:
                    eventlet.spawn_n(self.send_suspicion, peer, box.identity)

    def send_suspicion(self, peer: BoxRecord, identity: str) -> None:
        """Send a suspicion of the box `identity` to one peer."""
        message = Suspicion(identity=identity)
        try:
            self.client.send(peer.peer_address, "suspect", message, Acknowledged)
        except PeerError:
            self.metrics.count("takeover.suspicion_lost")

    def on_suspicion(self, message: Suspicion) -> Acknowledged:
        """Probe a box that a peer suspects, in the background."""
        eventlet.spawn_n(self.probe_suspect, message.identity)
        return Acknowledged()

    def probe_suspect(self, identity: str) -> None:
        """Send a suspected box up to `REFUSALS_NEEDED` heartbeats until it replies."""
        box = self.view.find_box(identity)
        for _ in range(REFUSALS_NEEDED):
            if box is None or self.answers(box):
                return
