"""Release of the caches that engines hold for ended programs."""

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

INITIAL_BACKOFF_SECONDS: Final = 0.2
MAX_BACKOFF_SECONDS: Final = 10.0


class CacheReleaser:
    """Retries the release on each engine until it is confirmed.

    A confirmed release is recorded, so a box that takes the program over repeats only
    the unconfirmed ones.
    """

    def __init__(
        self,
        registry: ProgramRegistry,
        directory: TargetDirectory,
        engines: EngineClient,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.directory = directory
        self.engines = engines
        self.metrics = metrics

    def on_ended(self, program: Program) -> None:
        """Release an ended program on all its targets, in the background."""
        for target in list(program.cached_tokens_by_target):
            eventlet.spawn_n(self.release, program, target)

    def release(self, program: Program, name: str) -> None:
        """Release a program on one target, retrying with exponential backoff."""
        backoff = INITIAL_BACKOFF_SECONDS
        while not program.partition.is_lost and name in program.cached_tokens_by_target:
            target = self.directory.find(name)
            try:
                if target is not None:
                    self.engines.release(target.section.address, program.id)
                self.registry.append_until_replicated(
                    program, [CacheReleased(target=name)]
                )
                self.metrics.count("release.confirmed")
                return
            except TargetError as error:
                self.metrics.count_retry("release")
                log.info("Release of %s on %s failed: %s.", program.id, name, error)
            except (PartitionMovedError, Problem, KeyError):
                return
            eventlet.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
