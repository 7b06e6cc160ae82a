"""A site of one entry box and three holders, shared by the tests of this folder."""

from __future__ import annotations

import contextlib
import itertools

import pytest

from experiments.node_site import NodeSite
from experiments.waiting import wait_until
from standins.raw_target import RawTarget

HOST = "site.example"
_numbers = itertools.count(1)


def make_route(prefix, kind, service, **more):
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 8000,
        "SloMs": 400,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        **more,
    }


ROUTES = [
    make_route("/once/", "non_idempotent", "plain"),
    make_route("/again/", "idempotent", "plain"),
    make_route("/short/", "non_idempotent", "plain", TimeoutMs=300),
    make_route("/stream/", "streaming", "model"),
    make_route("/turn/", "streaming", "model", Retained=True, RetentionS=60.0),
]


@contextlib.contextmanager
def start_nodes(folder, workspaces=None, routes=ROUTES, **settings):
    """Start three holders and two entries, and wait until they serve."""
    with NodeSite(folder, **settings) as site:
        site.start_store()
        for number, domain in enumerate("abc", 1):
            site.start_holder(f"holder-{number}", domain)
        site.start_entry("entry-1", "a")
        site.start_entry("entry-2", "b")
        site.configure(routes, workspaces)
        site.wait_ready()
        site.wait_held(3)
        yield site


@pytest.fixture(scope="package")
def nodes(tmp_path_factory):
    """The boxes that the tests of this folder share and leave as they are."""
    with start_nodes(tmp_path_factory.mktemp("nodes")) as site:
        yield site


@pytest.fixture
def own_nodes(tmp_path):
    """Boxes that a test may break."""
    with start_nodes(tmp_path / "nodes") as site:
        yield site


@pytest.fixture
def serve(nodes):
    """Return a function that registers scripted targets for one test."""
    started = []

    def start(service, *scripts):
        targets = [RawTarget(script) for script in scripts]
        for target in targets:
            target.id = f"t-{next(_numbers)}"
            started.append((service, target))
            nodes.add_target(target.id, service, target.address)
        wait_known(nodes, targets)
        return targets[0] if len(targets) == 1 else targets

    yield start
    for _, target in started:
        nodes.remove(f"servers/{target.id}")
        target.close()
    for _, target in started:
        wait_gone(nodes, target)


def wait_known(nodes, targets):
    for target in targets:
        wait_logged(nodes, "Target is ready.", target.id)


def wait_gone(nodes, target):
    wait_logged(nodes, "Target is gone.", target.id)


def wait_logged(nodes, message, target_id):
    def is_logged():
        logs = [nodes.processes[name].read_log() for name in nodes.callers]
        return all(
            any(
                message in line and f'"{target_id}"' in line for line in log.split("\n")
            )
            for log in logs
        )

    wait_until(is_logged, f"{message} {target_id}")


@pytest.fixture
def entry(nodes):
    return nodes.callers["entry-1"]
