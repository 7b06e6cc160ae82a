"""A quota server grants nothing that a forgotten share may have granted already."""

from __future__ import annotations

import pytest

from cedarchute.decisions.quota_share import QuotaTolerance
from cedarchute.turns import quota_server
from cedarchute.turns.messages import AskQuota
from cedarchute.turns.quota_server import QuotaServer

RATE = 10.0
BURST = 30.0


class FakeClock:
    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock():
    return FakeClock()


def count_granted(server, workspace="w"):
    """Return how many calls are granted at once."""
    message = AskQuota(
        workspace=workspace,
        version=1,
        calls_per_second=RATE,
        burst=BURST,
        keepers=1,
        begins_program=False,
        patience_seconds=0.0,
    )
    count = 0
    while server.ask(message).granted:
        count += 1
    return count


def test_a_restarted_server_grants_only_what_it_earned(clock):
    """Its predecessor may have granted a burst and the tokens of a second ahead."""
    server = QuotaServer(QuotaTolerance(), clock, is_restarted=True)
    assert count_granted(server) == 0
    clock.now += 1.0
    assert count_granted(server) == 0
    clock.now += 2.0
    assert count_granted(server) == 2 * RATE


def test_a_server_on_a_new_disk_grants_a_call_at_once(clock):
    server = QuotaServer(QuotaTolerance(), clock, is_restarted=False)
    assert count_granted(server) == 1


def test_an_evicted_share_is_not_opened_with_a_full_burst(clock, monkeypatch):
    monkeypatch.setattr(quota_server, "MAX_SHARES", 2)
    server = QuotaServer(QuotaTolerance(), clock, is_restarted=False)
    clock.now += 60.0
    assert count_granted(server, "first") == BURST
    assert count_granted(server, "second") == BURST
    count_granted(server, "third")
    assert count_granted(server, "first") == 0
