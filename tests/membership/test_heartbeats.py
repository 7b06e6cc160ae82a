from __future__ import annotations

import random
from types import SimpleNamespace

from cedarchute.address import Address
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.heartbeats import Heartbeats
from cedarchute.membership.view import View


def make_records(count, regions):
    return [
        BoxRecord(
            name=f"b{n}",
            incarnation=1,
            caller_address=Address("127.0.0.1", 7000 + n),
            peer_address=Address("127.0.0.1", 8000 + n),
            failure_domain="a",
            region=f"r{n % regions}",
            holder=f"b{n}.1",
        )
        for n in range(count)
    ]


def make_heartbeats(me, records, peers=2):
    view = View()
    for record in records:
        view.put_box(record)
    keeper = SimpleNamespace(record=me)
    return Heartbeats(
        view, keeper, None, None, 1.0, peers, random.Random(1), lambda box: None
    )


def test_each_box_is_watched_by_one_of_its_region():
    records = make_records(70, regions=7)
    watched = {}
    for record in records:
        successor = make_heartbeats(record, records).find_successor()
        assert successor.region == record.region
        watched[successor.name] = record.name
    # Failure detection within a region must not depend on the other regions.
    assert len(watched) == len(records)


def test_the_others_are_chosen_from_every_region():
    records = make_records(70, regions=7)
    heartbeats = make_heartbeats(records[0], records)
    successor = heartbeats.find_successor()
    chosen = {heartbeats.choose_random_peers(successor)[0].region for _ in range(100)}
    assert len(chosen) == 7


def test_a_box_alone_in_its_region_beats_to_others_by_chance():
    records = make_records(7, regions=7)
    heartbeats = make_heartbeats(records[0], records)
    assert heartbeats.find_successor() is None
    assert len(heartbeats.choose_random_peers(None)) == 1
    alone = make_heartbeats(records[0], records[:1])
    assert alone.choose_random_peers(alone.find_successor()) == []
