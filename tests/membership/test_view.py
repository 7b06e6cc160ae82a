from __future__ import annotations

from cedarchute.address import Address
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.view import View


def make_record(name, incarnation, holder="", region="r"):
    return BoxRecord(
        name=name,
        incarnation=incarnation,
        caller_address=Address("127.0.0.1", 7000),
        peer_address=Address("127.0.0.1", 8000),
        failure_domain="a",
        region=region,
        holder=holder or f"{name}.{incarnation}",
    )


def test_a_box_that_starts_with_nothing_is_no_longer_its_old_holder():
    for is_absent in (False, True):
        view = View()
        view.put_box(make_record("b1", 1))
        if is_absent:
            view.drop_box("b1", 0.0)
            assert view.find_holder("b1.1") is not None
        view.put_box(make_record("b1", 2))
        assert view.find_holder("b1.1") is None
        assert view.find_holder("b1.2").incarnation == 2


def test_a_box_with_a_data_folder_stays_its_holder():
    view = View()
    view.put_box(make_record("b1", 1, holder="disk"))
    view.put_box(make_record("b1", 2, holder="disk"))
    assert view.find_holder("disk").incarnation == 2
    view.drop_box("b1", 0.0)
    assert view.find_holder("disk").incarnation == 2
    view.forget_box("b1")
    assert view.find_holder("disk") is None


def test_an_older_incarnation_changes_nothing():
    view = View()
    view.put_box(make_record("b1", 2))
    view.put_box(make_record("b1", 1))
    assert view.find_holder("b1.1") is None
    assert view.find_holder("b1.2") is not None


def test_the_ring_follows_the_entries():
    view = View()
    for number in range(4):
        view.put_box(make_record(f"b{number}", 1))
    assert set(view.ring.names) == {"b0", "b1", "b2", "b3"}
    view.drop_box("b2", 0.0)
    assert set(view.ring.names) == {"b0", "b1", "b3"}


def test_a_region_has_a_ring_of_its_own_and_borrows_when_it_is_empty():
    view = View()
    for number in range(6):
        view.put_box(make_record(f"b{number}", 1, region=f"r{number % 2}"))
    assert set(view.ring_of("r0").names) == {"b0", "b2", "b4"}
    assert set(view.ring_of("r9").names) == set(view.ring.names)
    view.set_platform_leaving({"b2"})
    assert set(view.ring_of("r0").names) == {"b0", "b4"}
    for _ in range(2):
        view.on_refused("b4.1")
    assert set(view.ring_of("r0").names) == {"b0"}
    view.on_heard("b4.1")
    assert set(view.ring_of("r0").names) == {"b0", "b4"}
