"""Shares that follow the configuration and the directory."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.address import Address
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.pressure.connection_share_finder import ConnectionShareFinder
from cedarchute.routing.service import Service
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.target_registry import TargetRegistry

ADDRESS = Address("10.0.0.1", 1)


@pytest.fixture
def directory():
    return BoxDirectory()


@pytest.fixture
def finder(directory):
    services = {"s": Service("s", 40), "unbounded": Service("unbounded", 0)}
    routes = SimpleNamespace(table=SimpleNamespace(services=services))
    registry = TargetRegistry(lambda entry: None)
    registry.put(TargetEntry("t-1", "s", ADDRESS, "a", True, 8))
    return ConnectionShareFinder(routes, registry, directory)


def put_boxes(directory, count, role=Role.ENTRY):
    for number in range(count):
        address = f"10.0.1.{number}:1"
        name = f"{role}-{number}"
        directory.put(BoxEntry(name, role, "a", "r", address, address))


def test_a_share_falls_as_boxes_come_and_rises_as_they_go(directory, finder):
    put_boxes(directory, 4)
    assert finder.find(ADDRESS) == 15
    put_boxes(directory, 10)
    assert finder.find(ADDRESS) == 6
    directory.remove("entry-0")
    directory.remove("entry-1")
    assert finder.find(ADDRESS) == 8


def test_holders_open_no_connections_to_targets(directory, finder):
    put_boxes(directory, 4)
    put_boxes(directory, 4, Role.HOLDER)
    assert finder.find(ADDRESS) == 15


def test_an_unknown_address_or_an_unbounded_service_has_no_share(finder):
    assert finder.find(Address("10.0.0.9", 9)) is None
    other = Address("10.0.0.2", 1)
    finder.registry.put(TargetEntry("t-2", "unbounded", other, "a", True, 8))
    assert finder.find(other) is None
    finder.routes.table = None
    assert finder.find(ADDRESS) is None
