from __future__ import annotations

import pytest

from experiments.caller import Caller
from experiments.local_site import LocalSite

DOMAINS = ("domain-a", "domain-b", "domain-c")


def start_site(folder, boxes=3, **options):
    """Start a store, two engines, a plain service and some boxes."""
    site = LocalSite(folder, **options)
    site.services = {
        "agent": {"kind": "model", "model": "small"},
        "transfer": {"kind": "plain", "repeatable": "no", "timeout_seconds": "10"},
        "balance": {"kind": "plain"},
    }
    try:
        site.start_store()
        site.start_engine("engine-1", "agent", DOMAINS[0])
        site.start_engine("engine-2", "agent", DOMAINS[1])
        site.start_service("transfer-1", "transfer", DOMAINS[0])
        site.start_service("balance-1", "balance", DOMAINS[1])
        for number in range(boxes):
            site.start_box(f"box-{number + 1}", DOMAINS[number % len(DOMAINS)])
        site.wait_targets()
        site.wait_boxes()
        assert site.apply(site.site_text()).status == 200
        site.wait_in_force(1)
        site.wait_held()
    except BaseException:
        site.stop()
        raise
    return site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """A site that tests share and leave as it is."""
    with start_site(tmp_path_factory.mktemp("site") / "run") as started:
        yield started


@pytest.fixture
def broken_site(tmp_path):
    """A site of four boxes that a test may break."""
    with start_site(tmp_path / "run", boxes=4) as started:
        yield started


@pytest.fixture
def caller(site):
    return Caller(list(site.callers.values()))


def make_message(text):
    return [{"role": "user", "content": text}]
