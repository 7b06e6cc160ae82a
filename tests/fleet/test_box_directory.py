from __future__ import annotations

from cedarchute.fleet import box_directory
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role


def make_directory(isolated=(), leaving=()):
    directory = BoxDirectory()
    for number, domain in enumerate("aabbc"):
        name = f"entry-{number}"
        entry = BoxEntry(
            name,
            Role.ENTRY,
            domain,
            "r",
            f"{name}:1",
            f"{name}:2",
            leaving=number in leaving,
            is_isolated=number in isolated,
        )
        directory.put(entry)
    return directory


def list_names(directory, domain, **how):
    addresses = directory.list_caller_addresses(domain, "r", **how)
    return [address.partition(":")[0] for address in addresses]


def test_callers_are_sent_to_boxes_of_their_own_domain():
    assert list_names(make_directory(), "a") == ["entry-0", "entry-1"]


def test_callers_of_a_domain_with_one_box_are_sent_to_all():
    assert len(list_names(make_directory(), "c")) == 5


def test_a_box_that_is_behind_sends_callers_to_other_domains_too():
    assert len(list_names(make_directory(), "a", is_behind=True)) == 5


def test_callers_are_sent_to_boxes_that_reach_the_holders():
    names = list_names(make_directory(isolated={0, 2}), "a")
    assert names == ["entry-1", "entry-3", "entry-4"]


def test_callers_get_addresses_while_no_box_reaches_the_holders():
    directory = make_directory(isolated=range(5), leaving={1})
    assert list_names(directory, "b") == ["entry-2", "entry-3"]
    assert "entry-1" not in list_names(directory, "a")


def test_boxes_that_drain_or_were_dropped_lately_may_still_serve(monkeypatch):
    directory = make_directory(leaving=(1,))
    directory.remove("entry-2")
    everyone = {f"entry-{number}" for number in range(5)}

    def list_recent():
        return {box.name for box in directory.list_recent(Role.ENTRY)}

    assert list_recent() == everyone
    assert not directory.list_recent(Role.HOLDER)
    monkeypatch.setattr(box_directory, "RECENT_SECONDS", 0.0)
    assert list_recent() == everyone - {"entry-2"}
    monkeypatch.undo()
    directory.put(directory.known.entries["entry-0"])
    assert list_recent() == everyone - {"entry-2"}
