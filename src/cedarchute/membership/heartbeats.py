"""Heartbeats between boxes: failure detection and spread of the configuration."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from cedarchute.membership.rank import rank
from cedarchute.peers.heartbeat import (
    ConfigurationReply,
    ConfigurationRequest,
    Heartbeat,
    HeartbeatReply,
)
from cedarchute.peers.peer_client import PeerError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.view import View
    from cedarchute.operators.configuration import Configuration
    from cedarchute.peers.peer_client import PeerClient

log = logging.getLogger("cedarchute.membership")


class Heartbeats:
    """Sends heartbeats to the successor on a ring and to a few random boxes.

    The ring gives each box one monitor that detects the end of its process. The
    random heartbeats spread a new configuration by gossip, also while the store is
    unavailable: it reaches all boxes in a logarithmic number of rounds, and the
    cost per box does not depend on the number of boxes.
    """

    def __init__(
        self,
        view: View,
        keeper: LeaseKeeper,
        configuration: Configuration,
        client: PeerClient,
        interval_seconds: float,
        peer_count: int,
        random_source: random.Random,
        on_refused: Callable[[BoxRecord], None],
    ) -> None:
        self.view = view
        self.keeper = keeper
        self.configuration = configuration
        self.client = client
        self.interval_seconds = interval_seconds
        self.peer_count = peer_count
        self.random_source = random_source
        self.on_refused = on_refused

    def beat_forever(self) -> None:
        """Send heartbeats at each interval, with jitter."""
        while True:
            successor = self.find_successor()
            if successor is not None:
                eventlet.spawn_n(self.send_heartbeat, successor)
            for peer in self.choose_random_peers(successor):
                eventlet.spawn_n(self.send_heartbeat, peer, keep_alive=False)
            eventlet.sleep(self.interval_seconds * self.random_source.uniform(0.9, 1.1))

    def find_successor(self) -> BoxRecord | None:
        """Return the next box on the ring of this region, if there is one.

        The ring stays within the region, so that a region detects its failed boxes
        while it is partitioned from the others.
        """
        own_record = self.keeper.record
        region_boxes = [
            box for box in self.other_boxes if box.region == own_record.region
        ]
        if not region_boxes:
            return None
        ring = sorted(
            [*region_boxes, own_record], key=lambda box: rank("ring", box.name)
        )
        position = next(n for n, box in enumerate(ring) if box.name == own_record.name)
        return ring[(position + 1) % len(ring)]

    def choose_random_peers(self, successor: BoxRecord | None) -> list[BoxRecord]:
        """Return random boxes of any region, without `successor`."""
        candidates = [box for box in self.other_boxes if box is not successor]
        count = min(len(candidates), self.peer_count - 1)
        return self.random_source.sample(candidates, count)

    @property
    def other_boxes(self) -> list[BoxRecord]:
        """Every known box except this one."""
        name = self.keeper.record.name
        return [box for box in self.view.known_boxes if box.name != name]

    def send_heartbeat(self, peer: BoxRecord, *, keep_alive: bool = True) -> None:
        """Exchange one heartbeat with `peer`; keep its connection if `keep_alive`."""
        accepted = self.configuration.accepted
        message = Heartbeat(
            box=self.keeper.record,
            revision=self.configuration.revision,
            digest=accepted.digest if accepted else "",
        )
        try:
            reply = self.client.send(
                peer.peer_address,
                "heartbeat",
                message,
                HeartbeatReply,
                is_kept=keep_alive,
            )
        except PeerError as error:
            if error.refused:
                self.on_refused(peer)
            return
        self.view.on_heard(reply.box.identity)
        if reply.box.identity != peer.identity and reply.box.name == peer.name:
            self.view.put_box(reply.box)
        if reply.newer is not None:
            self.configuration.offer(reply.newer, f"heartbeat with {peer.name}")

    def on_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Respond to a heartbeat with a newer configuration, if this box has one.

        If the sender has the newer one, it is fetched in the background.
        """
        self.apply_record(message.box)
        self.view.on_heard(message.box.identity)
        accepted = self.configuration.accepted
        newer = None
        if accepted is not None and accepted.revision > message.revision:
            newer = accepted
        elif message.revision > self.configuration.revision:
            eventlet.spawn_n(self.fetch, message.box)
        return HeartbeatReply(
            box=self.keeper.record, revision=self.configuration.revision, newer=newer
        )

    def apply_record(self, record: BoxRecord) -> None:
        """Store a record received from the box itself, ahead of the store watch."""
        known = self.view.boxes.get(record.name)
        if known != record and record.name != self.keeper.record.name:
            self.view.put_box(record)

    def fetch(self, peer: BoxRecord) -> None:
        """Fetch the configuration from `peer` if its revision is higher."""
        request = ConfigurationRequest(above=self.configuration.revision)
        try:
            reply = self.client.send(
                peer.peer_address, "configuration", request, ConfigurationReply
            )
        except PeerError:
            return
        if reply.accepted is not None:
            self.configuration.offer(reply.accepted, f"box {peer.name}")

    def on_configuration(self, message: ConfigurationRequest) -> ConfigurationReply:
        """Return the accepted configuration if it is newer than requested."""
        accepted = self.configuration.accepted
        if accepted is None or accepted.revision <= message.above:
            return ConfigurationReply(accepted=None)
        return ConfigurationReply(accepted=accepted)
