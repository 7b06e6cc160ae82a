"""How the holders of complete disks agree that any further disk may be lost."""

from __future__ import annotations

import pytest
from test_seat_changes import site

from cedarchute.turns import seat_coverage
from cedarchute.turns.copy_messages import CoverSeats
from cedarchute.turns.holder import HolderError
from cedarchute.turns.holder_client import HolderUnavailableError

__all__ = ["site"]


@pytest.fixture
def covers(site):
    """Disks asked to cover, on a site whose box "a" has an empty disk."""
    site.form(*"abcd")
    site.kill("a")
    site.wipe("a")
    site.start("a")
    asked = []

    def note(path, message):
        if path == "/turns/cover":
            asked.append(message.disk)

    site.watch = note
    return asked


def test_only_holders_that_do_not_cover_yet_are_asked_again(site, covers):
    site.kill("d")
    site.step(0.0, only=["a"])
    for _ in range(3):
        site.step(1.0, only=["b"])
    disks = {name: site.boxes[name].disk for name in "bc"}
    assert site.table.list_unreleased() == [0]
    # "b" and "c" cannot read "d", so nobody covers before it is back.
    assert covers.count(disks["c"]) == 3
    site.start("d")
    site.step(1.0, only=["d"])
    site.step(1.0, only=["b"])
    assert site.table.list_unreleased() == []


def test_one_that_covers_is_not_asked_twice(site, covers):
    site.step(0.0, only=["a"])
    refused = []

    def refuse(path, message):
        if path == "/turns/cover":
            covers.append(message.disk)
            if message.disk == site.boxes["c"].disk and not refused:
                refused.append(message.disk)
                raise HolderUnavailableError("lost")

    site.watch = refuse
    site.step(0.0, only=["b"])
    assert site.table.list_unreleased() == [0]
    site.step(1.0, only=["b"])
    assert site.table.list_unreleased() == []
    assert [covers.count(site.boxes[name].disk) for name in "bcd"] == [1, 2, 1]


def test_attempts_that_fail_are_apart(site, covers):
    site.kill("d")
    site.step(0.0, only=["a"])
    for _ in range(10):
        site.step(0.0, only=["b"])
    assert len(covers) == 3


def test_a_holder_that_copies_already_does_not_begin_again(site, covers):
    site.step(0.0, only=["a"])
    table = site.table
    box = site.boxes["c"]
    message = CoverSeats(table_version=table.version, disk=box.disk, table=table)
    nested = []

    def ask_within(path, _):
        if path == "/turns/index" and not nested:
            nested.append("asked")
            with pytest.raises(HolderError, match="still copying"):
                box.coverage.cover(message)

    site.watch = ask_within
    box.coverage.cover(message)
    assert nested == ["asked"]


def test_holders_further_behind_wait_for_those_before_them(site, covers):
    site.step(0.0, only=["a"])
    site.step(0.0, only=["c"])
    assert covers == []
    site.step(seat_coverage.TURN_SECONDS, only=["c"])
    assert site.table.list_unreleased() == []
