"""Migration of a program's KV cache between engines."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cedarchute.scheduling.program_aware import is_transfer_cheaper
from cedarchute.targets.target_error import TargetError

if TYPE_CHECKING:
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.programs.program import Program
    from cedarchute.scheduling.prefix_index import PrefixIndex
    from cedarchute.scheduling.target_directory import TargetDirectory
    from cedarchute.scheduling.target_state import TargetState
    from cedarchute.targets.engine_client import EngineClient

log = logging.getLogger("cedarchute.dispatch")


class CacheMigrator:
    """Migrates the cache of a program to the target of its next call.

    The cache is exported from the engine that holds the most of it. The record that
    names the new target is replicated before the import, so that the cache is released
    at the program's end whichever box owns the program by then. When a migration
    fails, the engine computes the prompt again.
    """

    def __init__(
        self,
        engines: EngineClient,
        directory: TargetDirectory,
        index: PrefixIndex,
        configuration: Configuration,
        metrics: Metrics,
    ) -> None:
        self.engines = engines
        self.directory = directory
        self.index = index
        self.configuration = configuration
        self.metrics = metrics

    def migrate_if_worthwhile(self, program: Program, target: TargetState) -> None:
        """Migrate the cache to `target` if that is faster than recomputing it."""
        site = self.configuration.site
        if site is None or not site.is_program_aware:
            return
        local_tokens = max(
            program.cached_tokens_by_target.get(target.name, 0),
            self.index.count_cached_tokens(program.prefixes, target.name),
        )
        source, tokens = self.find_source_engine(program, target)
        if source is None or not is_transfer_cheaper(target, local_tokens, tokens):
            return
        engine = source
        try:
            exported = self.engines.export_cache(source.section.address, program.id)
            engine = target
            self.engines.import_cache(target.section.address, exported)
        except TargetError as error:
            self.metrics.count("cache.move_failed")
            log.info("Cache migration of %s failed: %s.", program.id, error)
            # Keeps the next program from waiting for the same failing engine.
            self.directory.back_off(engine)
            return
        self.metrics.count("cache.moved")

    def find_source_engine(
        self, program: Program, target: TargetState
    ) -> tuple[TargetState | None, int]:
        """Return the healthy engine with the most cached tokens, and their number."""
        best_source: TargetState | None = None
        most_tokens = 0
        for name, tokens in program.cached_tokens_by_target.items():
            source = self.directory.find(name)
            if source is None or source is target or source.failures:
                continue
            if tokens > most_tokens:
                best_source, most_tokens = source, tokens
        return best_source, most_tokens
