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


class FakeEngines:
    """Records migrations; an engine whose port is in `unresponsive` times out."""

    def __init__(self):
        self.migrations = []
        self.unresponsive = set()

    def export_cache(self, address, program):
        self.check_responsive(address)
        return {"program": program, "from": address.port}

    def import_cache(self, address, exported):
        self.check_responsive(address)
        self.migrations.append((exported["from"], address.port))

    def check_responsive(self, address):
        if address.port in self.unresponsive:
            raise TargetError("target_timeout", "silent", Verdict.MAY_HAVE_RUN)


class MigrationSetup:
    def __init__(self, import_speed=200_000.0, is_program_aware=True):
        clock = StillClock()
        self.metrics = Metrics()
        self.directory = TargetDirectory("box", "region", 20, clock, self.metrics)
        for number in range(3):
            section = TargetSection(
                service="s", address=f"127.0.0.1:{number + 1}", failure_domain="a"
            )
            report = LoadReport(
                running=0,
                waiting=0,
                max_running=8,
                import_tokens_per_second=import_speed,
            )
            state = TargetState(f"t{number}", section, report=report)
            self.directory.targets[state.name] = state
        self.engines = FakeEngines()
        site = SimpleNamespace(is_program_aware=is_program_aware)
        self.migrator = CacheMigrator(
            self.engines,
            self.directory,
            PrefixIndex(clock),
            SimpleNamespace(site=site),
            self.metrics,
        )

    def migrate_if_worthwhile(self, cached, target):
        program = SimpleNamespace(id="p", cached_tokens_by_target=cached, prefixes=())
        self.migrator.migrate_if_worthwhile(program, self.directory.targets[target])


def test_the_cache_comes_from_where_most_of_it_is():
    setup = MigrationSetup()
    setup.migrate_if_worthwhile({"t0": 500, "t1": 900}, "t2")
    assert setup.engines.migrations == [(2, 3)]


@pytest.mark.parametrize(
    ("cached", "target"),
    [({"t0": 900}, "t0"), ({"t0": 900, "t1": 880}, "t1"), ({}, "t1")],
)
def test_nothing_moves_that_is_there_already(cached, target):
    setup = MigrationSetup()
    setup.migrate_if_worthwhile(cached, target)
    assert setup.engines.migrations == []


def test_nothing_moves_where_computing_is_faster_or_policy_is_a_baseline():
    for setup in (
        MigrationSetup(import_speed=0.0),
        MigrationSetup(100.0),
        MigrationSetup(is_program_aware=False),
    ):
        setup.migrate_if_worthwhile({"t0": 900}, "t1")
        assert setup.engines.migrations == []


def test_an_engine_that_does_not_export_is_left_alone_for_a_while():
    setup = MigrationSetup()
    setup.engines.unresponsive.add(1)
    setup.migrate_if_worthwhile({"t0": 900, "t1": 300}, "t2")
    assert setup.engines.migrations == []
    assert setup.metrics.totals["cache.move_failed"] == 1
    setup.migrate_if_worthwhile({"t0": 900, "t1": 300}, "t2")
    assert setup.engines.migrations == [(2, 3)]
    assert setup.metrics.totals["cache.move_failed"] == 1
