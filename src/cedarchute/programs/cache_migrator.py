"""Moves a program's cache from one engine to another instead of computing it."""

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
    """Exports from the engine that has most of a program, before its next call.

    The records name the new engine before anything is imported there, so that the
    release at the program's end reaches it whichever box is the home by then.
    A move that fails costs time and nothing else: the engine computes the prompt.
    """

    def __init__(
        self,
        engines: EngineClient,
        book: TargetDirectory,
        index: PrefixIndex,
        configuration: Configuration,
        metrics: Metrics,
    ) -> None:
        self.engines = engines
        self.book = book
        self.index = index
        self.configuration = configuration
        self.metrics = metrics

    def migrate_if_worthwhile(self, program: Program, target: TargetState) -> None:
        """Bring a program's cache to the target of its next call, if that pays."""
        site = self.configuration.site
        if site is None or not site.is_program_aware:
            return
        here = max(
            program.cached_tokens_by_target.get(target.name, 0),
            self.index.count_cached_tokens(program.prefixes, target.name),
        )
        source, tokens = self.find_source(program, target)
        if source is None or not is_transfer_cheaper(target, here, tokens):
            return
        asked = source
        try:
            exported = self.engines.export_cache(source.section.address, program.id)
            asked = target
            self.engines.import_cache(target.section.address, exported)
        except TargetError as error:
            self.metrics.count("cache.move_failed")
            log.info("Cache of %s not moved: %s.", program.id, error)
            # Or the next program would wait for the same engine in vain.
            self.book.back_off(asked)
            return
        self.metrics.count("cache.moved")

    def find_source(
        self, program: Program, target: TargetState
    ) -> tuple[TargetState | None, int]:
        """Return the sound engine with the most cache, and how many tokens."""
        best: TargetState | None = None
        most = 0
        for name, tokens in program.cached_tokens_by_target.items():
            source = self.book.find(name)
            if source is None or source is target or source.failures:
                continue
            if tokens > most:
                best, most = source, tokens
        return best, most
