"""Boxes that work with different shares of the targets take over from each other."""

from __future__ import annotations

import pytest
from support import Background, count_engine, make_messages, open_at, start_site

from experiments.box_timing import BoxTiming
from experiments.waiting import wait_until


@pytest.fixture
def subset_site(tmp_path):
    """Each box works with one of two engines, and nothing is swept for long."""
    timing = BoxTiming(subset_targets=1, sweep_seconds=600.0)
    with start_site(tmp_path / "run", boxes=4, timing=timing) as started:
        yield started


def find_odd_box(site):
    """Return a box whose engine no other box works with, and that engine."""
    engines = {}
    for name, address in site.peers.items():
        targets = site.http.get(address, "/operators/targets")["targets"]
        own = [t["name"] for t in targets if t["service"] == "agent"]
        engines[name] = own[0]
    for name, engine in engines.items():
        if list(engines.values()).count(engine) == 1:
            return name, engine
    raise AssertionError(f"no such box: {engines}")


def test_a_stream_is_read_on_by_a_box_that_works_with_other_engines(subset_site):
    home, _ = find_odd_box(subset_site)
    program, caller = open_at(subset_site, home)
    reading = Background(
        caller.stream,
        program,
        "long",
        service="agent",
        messages=make_messages("Long"),
        max_tokens=600,
    )
    wait_until(lambda: count_engine(subset_site, "generated_tokens") > 100, "tokens")
    subset_site.processes[home].kill()
    result = reading.get()
    assert result.is_whole
    assert result.restarts == 0
    assert count_engine(subset_site, "requests") == 1


def test_memory_is_released_by_a_box_that_works_with_other_engines(subset_site):
    home, engine = find_odd_box(subset_site)
    program, caller = open_at(subset_site, home)
    caller.call(
        program,
        "one",
        service="agent",
        messages=make_messages("A" * 400),
        max_tokens=4,
    )

    def read_held():
        address = subset_site.target_address(engine)
        return subset_site.http.get(address, "/cache/held")["programs"]

    assert read_held() == [program]
    subset_site.processes[home].kill()
    caller.end(program)
    wait_until(lambda: read_held() == [], "released")
