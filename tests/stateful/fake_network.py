from __future__ import annotations

from collections import Counter

import greenlet

from cedarchute.peers.peer_client import PeerError


class FakeNetwork:
    """Passes messages between boxes of one process; boxes die or are cut off."""

    def __init__(self):
        self.handlers = {}
        self.dead = set()
        self.cut = set()
        self.sent = Counter()

    def check_running(self, box):
        """End the task of a box that was killed."""
        if box in self.dead:
            raise greenlet.GreenletExit

    def client(self, box):
        return FakePeerClient(self, box)


class FakePeerClient:
    def __init__(self, network, box):
        self.network = network
        self.box = box

    def send(self, address, path, message, reply, timeout=None, *, is_kept=True):
        self.network.check_running(self.box)
        self.network.sent[path] += 1
        other = address.port
        if other in self.network.dead:
            raise PeerError("gone", refused=True)
        if self.box in self.network.cut or other in self.network.cut:
            raise PeerError("cut")
        # Through JSON, as between processes.
        taken = type(message).model_validate_json(message.to_json())
        answer = self.network.handlers[other][path](taken)
        self.network.check_running(self.box)
        if self.box in self.network.cut or other in self.network.cut:
            raise PeerError("cut before the reply")
        return reply.model_validate_json(answer.to_json())
