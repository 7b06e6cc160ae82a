"""Heartbeats to a few peers: liveness, and configuration while the store is down."""

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
    """Beats to the next box on a ring, and to a few boxes chosen by chance.

    The ring gives each box one that notices when its process is gone. The chosen
    ones pass a new configuration to all boxes in a logarithmic number of beats,
    so the cost of a box does not grow with the fleet.
    """

    def __init__(
        self,
        view: View,
        keeper: LeaseKeeper,
        configuration: Configuration,
        client: PeerClient,
        seconds: float,
        peers: int,
        random_source: random.Random,
        on_refused: Callable[[BoxRecord], None],
    ) -> None:
        self.view = view
        self.keeper = keeper
        self.configuration = configuration
        self.client = client
        self.seconds = seconds
        self.peers = peers
        self.random_source = random_source
        self.on_refused = on_refused

    def beat_forever(self) -> None:
        """Beat once in each period."""
        while True:
            successor = self.find_successor()
            if successor is not None:
                eventlet.spawn_n(self.beat, successor)
            for peer in self.choose_others(successor):
                eventlet.spawn_n(self.beat, peer, is_kept=False)
            eventlet.sleep(self.seconds * self.random_source.uniform(0.9, 1.1))

    def find_successor(self) -> BoxRecord | None:
        """Return the next box on the ring of this region, if there is one.

        A region that is cut off from the others notices its own dead boxes.
        """
        me = self.keeper.record
        near = [box for box in self.others if box.region == me.region]
        if not near:
            return None
        ring = sorted([*near, me], key=lambda box: rank("ring", box.name))
        position = next(n for n, box in enumerate(ring) if box.name == me.name)
        return ring[(position + 1) % len(ring)]

    def choose_others(self, successor: BoxRecord | None) -> list[BoxRecord]:
        """Return some boxes of any region by chance."""
        rest = [box for box in self.others if box is not successor]
        count = min(len(rest), self.peers - 1)
        return self.random_source.sample(rest, count)

    @property
    def others(self) -> list[BoxRecord]:
        """Every other box that is not proved gone."""
        name = self.keeper.record.name
        return [box for box in self.view.all_boxes if box.name != name]

    def beat(self, peer: BoxRecord, *, is_kept: bool = True) -> None:
        """Exchange one heartbeat with `peer`."""
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
                is_kept=is_kept,
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
        """Answer a heartbeat; pass on a newer configuration or fetch it."""
        self.on_box(message.box)
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

    def on_box(self, record: BoxRecord) -> None:
        """Take in what a box says of itself, which is newer than the store."""
        known = self.view.boxes.get(record.name)
        if known != record and record.name != self.keeper.record.name:
            self.view.put_box(record)

    def fetch(self, peer: BoxRecord) -> None:
        """Ask `peer` for its newer configuration."""
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
        """Answer a request for the file in force."""
        accepted = self.configuration.accepted
        if accepted is None or accepted.revision <= message.above:
            return ConfigurationReply(accepted=None)
        return ConfigurationReply(accepted=accepted)
