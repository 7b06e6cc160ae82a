"""Ends expired and idle programs and removes ended ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.problem import Problem
from cedarchute.programs.pack_limits import (
    COMPRESS_AFTER_IDLE_SECONDS,
    MAX_COMPRESSED_CHARACTERS,
)

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.settings.box_settings import ServingSection

log = logging.getLogger("cedarchute.programs")

REAP_INTERVAL_SECONDS: Final = 1.0


class Reaper:
    """Periodically checks every program that this box owns.

    A program that never finishes is ended by its call and token budgets, or here at its
    deadline. The histories of idle programs are compressed, up to a limit per interval.
    """

    def __init__(
        self, registry: ProgramRegistry, settings: ServingSection, clock: Clock
    ) -> None:
        self.registry = registry
        self.settings = settings
        self.clock = clock

    def reap_forever(self) -> None:
        """Check all programs once per interval and compress idle histories."""
        while True:
            eventlet.sleep(REAP_INTERVAL_SECONDS)
            remaining = MAX_COMPRESSED_CHARACTERS
            for program in list(self.registry.programs.values()):
                self.reap(program)
                if remaining > 0 and self.is_idle(program):
                    remaining -= program.log.pack(remaining)

    def is_idle(self, program: Program) -> bool:
        """Return whether the history of a program may be compressed."""
        idle_seconds = self.clock.monotonic() - program.last_active_at
        return not program.runs and idle_seconds > COMPRESS_AFTER_IDLE_SECONDS

    def reap(self, program: Program) -> None:
        """End a program past its deadline or idle limit; remove an ended one."""
        assert program.opened is not None
        now = self.clock.wall()
        idle_seconds = self.clock.monotonic() - program.last_active_at
        if program.ended is not None:
            ended_seconds = now - program.ended.ended_at
            if (
                not program.cached_tokens_by_target
                and ended_seconds > self.settings.keep_answers_seconds
            ):
                self.registry.forget(program)
            return
        if program.is_ending or not program.is_ready:
            return
        if now > program.opened.deadline:
            eventlet.spawn_n(self.try_end, program, "time budget spent")
        elif not program.runs and idle_seconds > self.settings.idle_program_seconds:
            eventlet.spawn_n(self.try_end, program, "idle for too long")

    def try_end(self, program: Program, reason: str) -> None:
        """End a program; a failure is retried at the next check."""
        try:
            self.registry.end(program, reason)
        except (Problem, PartitionMovedError) as error:
            program.is_ending = False
            log.info("Program %s not ended yet: %s.", program.id, error)
