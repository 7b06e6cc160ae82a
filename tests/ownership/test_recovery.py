from __future__ import annotations

from types import SimpleNamespace

import eventlet
import pytest
from eventlet.event import Event

from cedarchute.clock import SystemClock
from cedarchute.copies.messages import SealReply
from cedarchute.copies.owned_partition import OwnedPartition
from cedarchute.membership.partition_record import PartitionRecord
from cedarchute.metrics import Metrics
from cedarchute.ownership.recovery import Recovery

HANG_SECONDS = 30.0


class Peers:
    """Holders that reply, except for the silent ones, which hang."""

    def __init__(self, silent):
        self.silent = silent
        self.asked = []

    def send(self, address, path, message, reply):
        self.asked.append(address)
        if address in self.silent:
            Event().wait()
        return SealReply(logs={})


@pytest.mark.parametrize("silent", ["one", "two", "three"])
def test_a_silent_holder_keeps_no_other_from_being_asked(silent):
    """A hung holder must not delay a takeover until its request times out."""
    peers = Peers({silent})
    view = SimpleNamespace(find_holder=lambda h: SimpleNamespace(peer_address=h))
    holder = SimpleNamespace(name="me")
    clock = SystemClock()
    recovery = Recovery(view, holder, None, None, peers, clock, Metrics())
    record = PartitionRecord(
        partition="box-1.1",
        epoch=2,
        owner="me",
        holders=("one", "two", "three"),
        quorum=2,
        operation="x",
    )
    with eventlet.Timeout(HANG_SECONDS):
        sealed = recovery.seal(OwnedPartition(record, 1), True)
    assert set(sealed) == {"one", "two", "three"} - {silent}
    assert set(peers.asked) == {"one", "two", "three"}
