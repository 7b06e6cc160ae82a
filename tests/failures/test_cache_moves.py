"""A program's cache moves with it; a move that fails costs time only."""

from __future__ import annotations

import pytest
from support import count_engine, make_messages, open_at, start_site

from experiments.waiting import wait_until

TEXT = "ledger " * 300


@pytest.fixture
def moving_site(tmp_path):
    """Engines that import at ten times the rate at which they compute."""
    engine = {"import_tokens_per_second": 200_000}
    with start_site(tmp_path / "run", engine=engine) as started:
        yield started


def read_busy(site):
    """Return the engine that the program's first call ran on, and the other."""
    counts = {
        name: site.http.get(site.target_address(name), "/counts")
        for name in ("engine-1", "engine-2")
    }
    used = max(counts, key=lambda name: counts[name].get("requests", 0))
    return used, ({"engine-1", "engine-2"} - {used}).pop()


def ask(caller, program, key, text):
    reply = caller.call(
        program, key, service="agent", messages=make_messages(text), max_tokens=4
    )
    assert reply.document["verdict"] == "ran"
    return reply.document["usage"]


def wait_leaving(site, engine):
    site.switch_target(engine, leaving=True)

    def is_known():
        targets = site.http.get(site.peers["box-1"], "/operators/targets")["targets"]
        states = {target["name"]: target["state"] for target in targets}
        return states[engine] == "leaving"

    wait_until(is_known, f"{engine} is known to leave")


def test_the_cache_of_a_leaving_engine_moves_with_the_program(moving_site):
    program, caller = open_at(moving_site, "box-1")
    ask(caller, program, "one", TEXT)
    used, other = read_busy(moving_site)
    wait_leaving(moving_site, used)
    ask(caller, program, "two", "and more")
    assert moving_site.counter("box-1", "cache.moved") == 1
    assert count_engine(moving_site, "imported_tokens") > 400
    counts = moving_site.http.get(moving_site.target_address(other), "/counts")
    assert counts["cached_tokens"] > 400
    caller.end(program)

    def is_released():
        return all(
            program
            not in moving_site.http.get(
                moving_site.target_address(name), "/cache/held"
            )["programs"]
            for name in (used, other)
        )

    wait_until(is_released, "both engines have released it")


def test_a_move_from_an_engine_that_died_costs_time_only(moving_site):
    program, caller = open_at(moving_site, "box-1")
    ask(caller, program, "one", TEXT)
    used, other = read_busy(moving_site)
    wait_leaving(moving_site, used)
    moving_site.processes[used].kill()
    ask(caller, program, "two", "and more")
    assert moving_site.counter("box-1", "cache.moved") == 0
    counts = moving_site.http.get(moving_site.target_address(other), "/counts")
    assert counts["computed_tokens"] > 400
