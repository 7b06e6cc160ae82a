"""Switches of an entry box that its configuration and settings hold."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.daemon.entry_box import EntryBox


@pytest.mark.parametrize(
    ("by_pace", "service", "is_placed"),
    [(True, "single", True), (True, "other", False), (False, "single", False)],
)
def test_placement_by_pace_needs_the_setting_and_a_route(by_pace, service, is_placed):
    box = SimpleNamespace(
        settings=SimpleNamespace(placement=SimpleNamespace(by_pace=by_pace)),
        routes=SimpleNamespace(
            table=SimpleNamespace(single_attempt_services={"single"})
        ),
    )
    assert EntryBox.places_by_pace(box, service) is is_placed
    box.routes.table = None
    assert not EntryBox.places_by_pace(box, service)
