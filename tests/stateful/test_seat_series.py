"""Series of changes of seats that once forgot turns, or stopped the service."""

from __future__ import annotations

import contextlib

import pytest
from seat_turns import SeatTurns
from seat_world import SeatWorld

# Some seconds, in rounds of steps: longer than an absent holder keeps its seat.
ABSENCE = 16


@pytest.fixture
def make_site():
    """Return a site with settled seats, and its turns."""
    with contextlib.ExitStack() as stack:

        def make(losses=1, seats=3, spares=0, settles=True):
            world = SeatWorld(losses, seats)
            stack.callback(world.close)
            world.run_rounds(60 if settles else 0)
            for _ in range(spares):
                world.add_box()
            turns = SeatTurns(world)
            for entry in turns.entries:
                entry.hear()
            return world, turns

        yield make


def take_without(world, turns, box, program="p", previous="", **terms):
    """Take a turn that one holder does not hear of; return its name."""
    cut = frozenset(("entry-0", box.name))
    world.cuts.add(cut)
    name = turns.take(0, program, previous, **terms)
    world.cuts.remove(cut)
    assert name is not None
    return name


def take_at_every_quorum(world, turns):
    """Take turns of which each holder misses one."""
    for number, box in enumerate(list(world.boxes.values())):
        take_without(world, turns, box, f"p{number}")


def read_all(turns):
    """Read all kept turns, which may be refused, but not be unknown."""
    for entry in turns.entries:
        entry.hear()
    for name in turns.list_kept():
        turns.read(0, name)


def get_seated(world, number):
    """Return the box in a seat."""
    return world.boxes[world.store.table.seats[number].box]


def test_a_seat_taken_while_another_disk_is_lost_forgets_no_turn(make_site):
    world, turns = make_site()
    take_at_every_quorum(world, turns)
    away, lost = get_seated(world, 0), get_seated(world, 1)
    world.kill(away)
    assert world.wipe(lost)
    lost.start()
    world.add_box()
    world.run_rounds(ABSENCE)
    read_all(turns)
    away.start()
    world.run_rounds(ABSENCE)
    turns.check_recovered()


def test_two_seats_taken_from_holders_that_are_away_forget_no_turn(make_site):
    world, turns = make_site()
    take_at_every_quorum(world, turns)
    first, second = get_seated(world, 0), get_seated(world, 1)
    world.kill(first)
    world.kill(second)
    world.add_box()
    world.add_box()
    world.run_rounds(2 * ABSENCE)
    read_all(turns)
    world.recover()
    turns.check_recovered()


def test_seats_all_taken_by_spares_forget_no_turn(make_site):
    world, turns = make_site(spares=3)
    take_at_every_quorum(world, turns)
    for number in range(3):
        world.kill(get_seated(world, number))
    world.run_rounds(4 * ABSENCE)
    read_all(turns)
    world.recover()
    turns.check_recovered()


def test_two_seats_taken_in_a_row_from_holders_that_are_away_forget_no_turn(make_site):
    world, turns = make_site()
    take_at_every_quorum(world, turns)
    first, second, third = (get_seated(world, n) for n in range(3))
    for box in (first, second, third):
        world.kill(box)
    one, two = world.add_box(), world.add_box()
    world.run_rounds(ABSENCE, [one])
    third.start()
    world.run_rounds(2 * ABSENCE, [two, third])
    world.run_rounds(2 * ABSENCE)
    read_all(turns)
    world.recover()
    turns.check_recovered()


def test_a_disk_lost_while_another_holder_is_emptied_forgets_no_turn(make_site):
    world, turns = make_site()
    take_at_every_quorum(world, turns)
    leaving, lost = get_seated(world, 0), get_seated(world, 1)
    world.retire(leaving)
    world.hear(leaving)
    world.run_rounds(1, [leaving])
    assert world.wipe(lost)
    world.kill(leaving)
    lost.start()
    world.add_box()
    world.run_rounds(ABSENCE)
    read_all(turns)
    leaving.start()
    world.run_rounds(ABSENCE)
    turns.check_recovered()


def test_a_disk_lost_after_a_spare_took_a_seat_forgets_no_turn(make_site):
    world, turns = make_site()
    take_at_every_quorum(world, turns)
    away, lost = get_seated(world, 0), get_seated(world, 1)
    spare = world.add_box()
    world.kill(away)
    # The spare takes the seat, and stops before it has copied anything.
    for _ in range(2 * ABSENCE):
        world.run_rounds(1, [spare])
        if world.store.table.find_box(spare.name) is not None:
            break
    world.kill(spare)
    assert world.wipe(lost)
    lost.start()
    spare.start()
    world.run_rounds(ABSENCE)
    read_all(turns)
    away.start()
    world.run_rounds(ABSENCE)
    turns.check_recovered()


def test_a_box_removed_before_the_seats_are_final_stops_no_service(make_site):
    world, turns = make_site(settles=False)
    world.run_rounds(6)
    assert not world.store.table.closed
    assert world.replace_box(get_seated(world, 2))
    world.recover()
    turns.check_recovered()


def test_an_emptied_box_is_not_removed_while_its_successor_reads_it(make_site):
    world, turns = make_site(seats=4)
    emptied, lost = get_seated(world, 0), get_seated(world, 1)
    world.retire(emptied)
    spare = world.add_box()
    cut = frozenset((spare.name, emptied.name))
    world.run_rounds(1)
    assert world.store.table.find_box(spare.name) == 0
    world.cuts.add(cut)
    world.kill(lost)
    world.run_rounds(ABSENCE)
    world.remove_retired()
    assert world.replace_box(lost)
    world.recover()
    turns.check_recovered()


def test_a_box_removed_while_the_seat_of_an_emptied_one_is_filled_is_replaced(
    make_site,
):
    world, turns = make_site()
    take_at_every_quorum(world, turns)
    emptied, removed = get_seated(world, 0), get_seated(world, 1)
    world.retire(emptied)
    world.run_rounds(ABSENCE)
    world.remove_retired()
    assert emptied.name not in world.boxes
    spare = world.add_box()
    world.clock.now += 2.0
    world.step(spare)
    assert world.store.table.find_box(spare.name) is not None
    assert not spare.process.serves
    assert world.replace_box(removed)
    world.recover()
    turns.check_recovered()


def test_a_chain_through_another_program_is_kept_while_it_is_in_use(make_site):
    world, turns = make_site()
    passed, unaware, aware = (get_seated(world, n) for n in range(3))
    first = take_without(world, turns, unaware, "p", keep_seconds=60.0)
    world.clock.now += 50
    turns.entries[0].quorum.failure_domain = aware.name
    second = take_without(world, turns, passed, "q", previous=first, keep_seconds=60.0)
    world.clock.now += 20
    passed.drop_expired()
    world.kill(aware)
    turns.entries[0].hear()
    assert turns.list_kept() == [first, second]
    assert turns.take(0, "q", second) is not None


def test_replaced_holders_that_restart_serve_under_no_older_table(make_site):
    world, turns = make_site()
    first, second, third = (get_seated(world, n) for n in range(3))
    old = len(world.store.tables) - 1
    for box in (first, second):
        world.retire(box)
        world.add_box()
        world.run_rounds(ABSENCE)
    for entry in turns.entries:
        entry.hear()
    kept = take_without(world, turns, third)
    for box in (first, second):
        world.kill(box)
        box.start()
        world.hear_old(box, old)
        world.step(box, hears=False)
    turns.entries[1].restart()
    turns.entries[1].hear(old)
    world.kill(third)
    assert not turns.read(1, kept)


def find_program(world, name, seats):
    """Return a program with exactly these seats."""
    names = (f"{name}-{n}" for n in range(1000))
    find_seats = world.store.table.find_seats
    return next(n for n in names if set(find_seats(n)) == seats)


def test_a_chain_through_a_program_with_other_seats_is_kept_while_in_use(make_site):
    world, turns = make_site(seats=4)
    passed, unaware, aware = (get_seated(world, n) for n in range(3))
    one, other = (
        find_program(world, n, s) for n, s in (("p", {0, 1, 2}), ("q", {1, 2, 3}))
    )
    first = take_without(world, turns, unaware, one, keep_seconds=60.0)
    world.clock.now += 50
    turns.entries[0].quorum.failure_domain = aware.name
    second = take_without(
        world, turns, unaware, other, previous=first, keep_seconds=60.0
    )
    world.clock.now += 20
    passed.drop_expired()
    world.kill(aware)
    turns.entries[0].hear()
    assert turns.list_kept() == [first, second]
    assert turns.take(0, other, second) is not None


def test_a_holder_is_not_emptied_while_another_one_is_away(make_site):
    world, turns = make_site()
    leaving, away = get_seated(world, 0), get_seated(world, 1)
    world.kill(away)
    world.retire(leaving)
    world.run_rounds(ABSENCE)
    turns.entries[0].hear()
    assert turns.take(0, "p") is not None
    away.start()
    world.run_rounds(ABSENCE)
    world.remove_retired()
    assert leaving.name not in world.boxes
