"""Ends programs that are out of time or idle, and forgets ended ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.problem import Problem
from cedarchute.programs.compression_limits import (
    COMPRESS_AFTER_IDLE_SECONDS,
    MAX_COMPRESSED_CHARACTERS,
)

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.settings.box_settings import ServingSection

log = logging.getLogger("cedarchute.programs")

PERIOD_SECONDS: Final = 1.0


class Reaper:
    """Looks at every program of the home in each period.

    The history of a program that is idle is packed, a bounded part in each period.
    A program that loops without end is ended by its budget of calls or tokens, or
    here by its time.
    """

    def __init__(
        self, home: ProgramRegistry, settings: ServingSection, clock: Clock
    ) -> None:
        self.home = home
        self.settings = settings
        self.clock = clock

    def reap_forever(self) -> None:
        """End programs that are out of time or idle; forget ended ones."""
        while True:
            eventlet.sleep(PERIOD_SECONDS)
            left = MAX_COMPRESSED_CHARACTERS
            for program in list(self.home.programs.values()):
                self.reap(program)
                if left > 0 and self.is_idle(program):
                    left -= program.log.pack(left)

    def is_idle(self, program: Program) -> bool:
        """Return whether a program has had no call for a while."""
        idle = self.clock.monotonic() - program.last_active_at
        return not program.runs and idle > COMPRESS_AFTER_IDLE_SECONDS

    def reap(self, program: Program) -> None:
        """End or forget one program if it is due."""
        assert program.opened is not None
        now = self.clock.wall()
        idle = self.clock.monotonic() - program.last_active_at
        if program.ended is not None:
            kept = now - program.ended.ended_at
            if (
                not program.cached_tokens_by_target
                and kept > self.settings.keep_answers_seconds
            ):
                self.home.forget(program)
            return
        if program.is_ending or not program.is_ready:
            return
        if now > program.opened.deadline:
            eventlet.spawn_n(self.end_quietly, program, "time budget spent")
        elif not program.runs and idle > self.settings.idle_program_seconds:
            eventlet.spawn_n(self.end_quietly, program, "idle for too long")

    def end_quietly(self, program: Program, reason: str) -> None:
        """End a program in a task of its own; try again later if that fails."""
        try:
            self.home.end(program, reason)
        except (Problem, PartitionMovedError) as error:
            program.is_ending = False
            log.info("Program %s not ended yet: %s.", program.id, error)
