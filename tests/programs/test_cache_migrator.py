from __future__ import annotations

from types import SimpleNamespace

import pytest
from fakes import StillClock

from cedarchute.metrics import Metrics
from cedarchute.operators.site_file import TargetSection
from cedarchute.programs.cache_migrator import CacheMigrator
from cedarchute.scheduling.prefix_index import PrefixIndex
from cedarchute.scheduling.target_directory import TargetDirectory
from cedarchute.scheduling.target_state import TargetState
from cedarchute.targets.load_report import LoadReport
from cedarchute.targets.target_error import TargetError
from cedarchute.verdict import Verdict


class Engines:
    """Notes what moves; an engine in `deaf` does not answer."""

    def __init__(self):
        self.moved = []
        self.deaf = set()

    def export_cache(self, address, program):
        self.check(address)
        return {"program": program, "from": address.port}

    def import_cache(self, address, exported):
        self.check(address)
        self.moved.append((exported["from"], address.port))

    def check(self, address):
        if address.port in self.deaf:
            raise TargetError("target_timeout", "silent", Verdict.MAY_HAVE_RUN)


class World:
    def __init__(self, importing=200_000.0, is_program_aware=True):
        clock = StillClock()
        self.metrics = Metrics()
        self.book = TargetDirectory("box", "region", 20, clock, self.metrics)
        for number in range(3):
            section = TargetSection(
                service="s", address=f"127.0.0.1:{number + 1}", failure_domain="a"
            )
            report = LoadReport(
                running=0,
                waiting=0,
                max_running=8,
                import_tokens_per_second=importing,
            )
            state = TargetState(f"t{number}", section, report=report)
            self.book.targets[state.name] = state
        self.engines = Engines()
        site = SimpleNamespace(is_program_aware=is_program_aware)
        self.mover = CacheMigrator(
            self.engines,
            self.book,
            PrefixIndex(clock),
            SimpleNamespace(site=site),
            self.metrics,
        )

    def prepare(self, cached, target):
        program = SimpleNamespace(id="p", cached_tokens_by_target=cached, prefixes=())
        self.mover.migrate_if_worthwhile(program, self.book.targets[target])


def test_the_cache_comes_from_where_most_of_it_is():
    world = World()
    world.migrate_if_worthwhile({"t0": 500, "t1": 900}, "t2")
    assert world.engines.moved == [(2, 3)]


@pytest.mark.parametrize(
    ("cached", "target"),
    [({"t0": 900}, "t0"), ({"t0": 900, "t1": 880}, "t1"), ({}, "t1")],
)
def test_nothing_moves_that_is_there_already(cached, target):
    world = World()
    world.migrate_if_worthwhile(cached, target)
    assert world.engines.moved == []


def test_nothing_moves_where_computing_is_faster_or_policy_is_a_baseline():
    for world in (World(importing=0.0), World(100.0), World(is_program_aware=False)):
        world.migrate_if_worthwhile({"t0": 900}, "t1")
        assert world.engines.moved == []


def test_an_engine_that_does_not_export_is_left_alone_for_a_while():
    world = World()
    world.engines.deaf.add(1)
    world.migrate_if_worthwhile({"t0": 900, "t1": 300}, "t2")
    assert world.engines.moved == []
    assert world.metrics.totals["cache.move_failed"] == 1
    world.migrate_if_worthwhile({"t0": 900, "t1": 300}, "t2")
    assert world.engines.moved == [(2, 3)]
    assert world.metrics.totals["cache.move_failed"] == 1
