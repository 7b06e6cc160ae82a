"""Frees the cache that engines hold for ended programs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.problem import Problem
from cedarchute.programs.records import CacheReleased
from cedarchute.targets.target_error import TargetError

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.scheduling.target_directory import TargetDirectory
    from cedarchute.targets.engine_client import EngineClient

log = logging.getLogger("cedarchute.release")

FIRST_WAIT_SECONDS: Final = 0.2
LONGEST_WAIT_SECONDS: Final = 10.0


class CacheReleaser:
    """Asks each engine of an ended program until it confirms.

    A confirmed release is recorded, so a box that takes the program over asks
    only where it has to.
    """

    def __init__(
        self,
        home: ProgramRegistry,
        book: TargetDirectory,
        engines: EngineClient,
        metrics: Metrics,
    ) -> None:
        self.home = home
        self.book = book
        self.engines = engines
        self.metrics = metrics

    def on_ended(self, program: Program) -> None:
        """Start to release an ended program."""
        for target in list(program.cached_tokens_by_target):
            eventlet.spawn_n(self.release, program, target)

    def release(self, program: Program, name: str) -> None:
        """Release one program on one target, again until it is confirmed."""
        wait = FIRST_WAIT_SECONDS
        while not program.partition.is_lost and name in program.cached_tokens_by_target:
            target = self.book.find(name)
            try:
                if target is not None:
                    self.engines.release(target.section.address, program.id)
                self.home.append_surely(program, [CacheReleased(target=name)])
                self.metrics.count("release.confirmed")
                return
            except TargetError as error:
                self.metrics.count_retry("release")
                log.info("Release of %s on %s: %s.", program.id, name, error)
            except (PartitionMovedError, Problem, KeyError):
                return
            eventlet.sleep(wait)
            wait = min(wait * 2, LONGEST_WAIT_SECONDS)
