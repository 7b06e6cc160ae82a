"""Turns of programs while boxes, disks and the store are lost."""

from __future__ import annotations

import time

import pytest
from conftest_nodes import wait_known
from turn_callers import say, take_turn

from cedarchute.turns.absent_holders import ABSENT_TIMEOUT_SECONDS
from experiments.waiting import wait_until
from standins.raw_target import RawTarget


@pytest.fixture
def turn_nodes(own_nodes):
    """Boxes that a test may break, before a target that says one word."""
    own_nodes.target = RawTarget(say(b"one"))
    own_nodes.target.id = "t-own"
    own_nodes.add_target("t-own", "model", own_nodes.target.address)
    wait_known(own_nodes, [own_nodes.target])
    return own_nodes


def count_caught_up(process):
    return process.read_log().count('"Caught up."')


def wait_served(site, turn, previous, program="p", **terms):
    """Take a turn until it is served; every refusal on the way is a 503."""
    address = site.callers["entry-1"]
    tries = []

    def take():
        name = f"{turn}-{len(tries)}"
        status = take_turn(address, name, b"b", program, previous=previous, **terms)[0]
        tries.append(status)
        assert status in (200, 503), tries
        return name if status == 200 else None

    return wait_until(take, f"{turn} is served", 40)


def test_turns_go_on_while_one_holder_is_lost(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    for name in ("holder-1", "holder-2", "holder-3"):
        site.kill(name)
        wait_served(site, f"without-{name}", "a")
        site.restart(name)
        wait_until(lambda n=name: site.answers(site.peers[n], "/metrics"), "it is back")
    assert site.target.requests[-1].body == b"aone\nb"


def test_turns_outlast_the_loss_of_every_process(turn_nodes):
    site = turn_nodes
    entry = site.callers["entry-1"]
    # Programs of their own: the smallest budget that a program names holds for good.
    assert take_turn(entry, "a", b"a", "p-small", budget=9)[0] == 402
    assert take_turn(entry, "a-exact", b"a", "p-exact", budget=30)[0] == 200
    assert take_turn(entry, "b", b"a", "p", budget=36)[0] == 200
    names = [*site.peers]
    for name in names:
        site.kill(name)
    for name in names:
        site.restart(name)
    site.wait_ready()
    wait_served(site, "c", "b", budget=36)
    assert take_turn(site.callers["entry-2"], "d", b"a", "p", budget=33)[0] == 402


@pytest.mark.parametrize("lost", ["holder-1", "holder-2", "holder-3"])
def test_turns_outlast_a_lost_disk_and_the_end_of_every_process(turn_nodes, lost):
    site = turn_nodes
    kept = []
    for away in ("holder-1", "holder-2", "holder-3"):
        site.kill(away)
        kept.append(wait_served(site, f"without-{away}", "", f"p-{away}"))
        site.restart(away)
        wait_until(lambda n=away: site.answers(site.peers[n], "/metrics"), "it is back")
    names = [*site.peers]
    for name in names:
        site.kill(name)
    for path in (site.folder / f"{lost}-data").iterdir():
        path.unlink()
    log = site.processes[lost]
    before = count_caught_up(log)
    for name in (lost, *(n for n in names if n != lost)):
        site.restart(name)
    site.wait_ready()
    wait_until(lambda: count_caught_up(log) > before, f"{lost} caught up")
    for name in sorted({"holder-1", "holder-2", "holder-3"} - {lost}):
        site.kill(name)
        for turn in kept:
            wait_served(site, f"{turn}-without-{name}", turn)
        site.restart(name)
        wait_until(lambda n=name: site.answers(site.peers[n], "/metrics"), "it is back")


def test_a_disk_that_was_lost_is_filled_again_before_another_goes(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    for name in ("holder-1", "holder-2", "holder-3"):
        log = site.processes[name]
        # Turns need two of the three: one may be killed before it has said so, and
        # says it once in all then (its first line came with the restart, 1.8 s later).
        wait_until(lambda g=log: count_caught_up(g) == 1, f"{name} began")
        site.kill(name)
        for path in (site.folder / f"{name}-data").iterdir():
            path.unlink()
        site.restart(name)
        wait_until(lambda g=log: count_caught_up(g) == 2, f"{name} caught up")
        wait_served(site, f"after-{name}", "a")
    assert site.target.requests[-1].body == b"aone\nb"


def test_a_holder_at_another_address_takes_the_seat_of_one_that_is_gone(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    site.kill("holder-2")
    site.start_holder("holder-4", "b")
    log = site.processes["holder-4"]
    wait_until(lambda: "Caught up." in log.read_log(), "holder-4 caught up", 60)
    site.kill("holder-1")
    wait_served(site, "b", "a")
    assert site.target.requests[-1].body == b"aone\nb"


def test_a_holder_that_comes_back_to_another_seat_knows_the_turns_since(turn_nodes):
    site = turn_nodes

    def wait_seated(name):
        wait_until(lambda: name in (site.read("cedarchute/seats") or ""), name, 60)

    site.kill("holder-1")
    site.start_holder("holder-4", "d")
    wait_seated("holder-4")
    log = site.processes["holder-4"]
    wait_until(lambda: "Caught up." in log.read_log(), "holder-4 caught up", 60)
    site.kill("holder-3")
    kept = wait_served(site, "a", "")
    site.restart("holder-3")
    site.restart("holder-1")
    # The box that leaves must find the other two serving, or its seat stays taken.
    for name in ("holder-1", "holder-3"):
        wait_until(lambda n=name: site.answers(site.peers[n], "/metrics"), "it is back")
    wait_served(site, "b", "")
    site.kill("holder-2")
    wait_seated("holder-1")
    log = site.processes["holder-1"]
    wait_until(lambda: count_caught_up(log) == 2, "holder-1 caught up", 60)
    site.kill("holder-4")
    wait_served(site, "c", kept)


def test_a_seat_taken_while_another_disk_is_lost_forgets_no_turn(turn_nodes):
    site = turn_nodes
    site.kill("holder-3")
    kept = wait_served(site, "a", "")
    site.restart("holder-3")
    wait_until(lambda: site.answers(site.peers["holder-3"], "/metrics"), "it is back")
    wait_served(site, "b", "")
    for name in ("holder-1", "holder-2"):
        site.kill(name)
    for path in (site.folder / "holder-2-data").iterdir():
        path.unlink()
    site.restart("holder-2")
    site.start_holder("holder-4", "d")
    # Longer than the seat of a holder that is away is left alone.
    time.sleep(3 * ABSENT_TIMEOUT_SECONDS)
    site.restart("holder-1")
    wait_served(site, "c", kept)


def test_a_spare_and_a_lost_disk_wait_for_the_disk_that_is_away(turn_nodes):
    site = turn_nodes
    site.kill("holder-3")
    kept = wait_served(site, "a", "")
    site.restart("holder-3")
    wait_until(lambda: site.answers(site.peers["holder-3"], "/metrics"), "it is back")
    wait_served(site, "b", "")
    for name in ("holder-1", "holder-2"):
        site.kill(name)
    for path in (site.folder / "holder-2-data").iterdir():
        path.unlink()
    site.restart("holder-2")
    site.start_holder("holder-4", "d")
    spare, emptied = site.processes["holder-4"], site.processes["holder-2"]

    def waits_beside(process, name):
        return any(
            '"Copy of a seat is not complete."' in line and f'"{name}/' in line
            for line in process.read_log().splitlines()
        )

    # Both have asked each other, so the table names the spare.
    wait_until(lambda: waits_beside(spare, "holder-2"), "the spare waits", 40)
    wait_until(lambda: waits_beside(emptied, "holder-4"), "the lost disk waits", 40)
    assert count_caught_up(spare) == 0
    assert count_caught_up(emptied) == 1
    site.restart("holder-1")
    wait_served(site, "c", kept)


def test_a_holder_to_be_emptied_hands_over_what_it_has(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    site.write("op/retire/holder-1", {"DurationS": 10})
    wait_until(
        lambda: "completed" in (site.read("status/retire/holder-1") or ""),
        "holder-1 is empty",
    )
    site.kill("holder-1")
    wait_served(site, "b", "a")


def test_turns_go_on_while_the_store_is_away(turn_nodes):
    site = turn_nodes
    assert take_turn(site.callers["entry-1"], "a", b"a", "p")[0] == 200
    site.switch_store(down=True)
    wait_until(
        lambda: "Store lost." in site.processes["entry-1"].read_log(), "it is noticed"
    )
    site.kill("holder-3")
    wait_served(site, "b", "a")
    site.restart("holder-3")
    wait_served(site, "c", "a")
