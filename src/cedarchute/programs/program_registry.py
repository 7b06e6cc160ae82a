"""The programs that this box owns: opening, lookup and ending."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.copies.owned_partition import (
    PartitionMovedError,
    make_copies_problem,
)
from cedarchute.copies.program_log import ProgramLog
from cedarchute.problem import Problem
from cedarchute.programs.budget_limits import resolve_budget
from cedarchute.programs.child_budgets import ChildBudgets
from cedarchute.programs.program import Program
from cedarchute.programs.program_id import format_program_id, parse_partition
from cedarchute.programs.records import (
    ProgramEnded,
    ProgramOpened,
)
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cedarchute.clock import Clock
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.copies.replicator import Replicator
    from cedarchute.limits.workspace_limits import WorkspaceLimits
    from cedarchute.metrics import Metrics
    from cedarchute.operators.site_file import WorkspaceSection
    from cedarchute.programs.records import ProgramRecord
    from cedarchute.programs.requests import OpenRequest
    from cedarchute.scheduling.admission import AdmissionController
    from cedarchute.settings.box_settings import ServingSection

log = logging.getLogger("cedarchute.programs")

RECOVERING_CODE: Final = "recovering"
BOX_FULL_RETRY_AFTER_SECONDS: Final = 5.0
RECOVERING_RETRY_AFTER_SECONDS: Final = 0.5
APPEND_RETRY_SECONDS: Final = 0.5


class ProgramRegistry:
    """The programs whose partitions this box owns."""

    def __init__(
        self,
        replicator: Replicator,
        limits: WorkspaceLimits,
        admission: AdmissionController,
        settings: ServingSection,
        get_own_partition: Callable[[], OwnedPartition],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.replicator = replicator
        self.limits = limits
        self.admission = admission
        self.settings = settings
        self.get_own_partition = get_own_partition
        self.clock = clock
        self.metrics = metrics
        self.programs: dict[str, Program] = {}
        self.child_budgets = ChildBudgets(self, metrics)
        self.ended_listeners: list[Callable[[Program], None]] = []

    def append(self, program: Program, records: Sequence[ProgramRecord]) -> None:
        """Append records and wait until they are replicated.

        They are applied to the program before the wait, so that two calls cannot
        reserve the same budget.

        Raises
        ------
        Problem
            ``copies_unavailable`` when they were not acknowledged in time.
        """
        start = self.replicator.extend(program.partition, program.id, records)
        program.apply_all(records, start)
        program.last_active_at = self.clock.monotonic()
        self.replicator.wait_kept(program.partition, program.id, start + len(records))

    def append_without_waiting(self, program: Program, record: ProgramRecord) -> None:
        """Append a record that is replicated together with the next one."""
        start = self.replicator.extend(
            program.partition, program.id, [record], is_sent=False
        )
        program.apply(record, start)

    def append_until_replicated(
        self, program: Program, records: Sequence[ProgramRecord]
    ) -> None:
        """Append records and wait until they are replicated, however long it takes.

        Raises
        ------
        PartitionMovedError
            When another box owns the program now.
        """
        try:
            self.append(program, records)
        except Problem:
            self.metrics.count_retry("copies_unavailable")
            self.wait_until_replicated(program)

    def wait_until_replicated(self, program: Program) -> None:
        """Wait until all records of a program are replicated, however long it takes.

        Raises
        ------
        PartitionMovedError
            When another box owns the program now.
        """
        length = len(program.log)
        while True:
            try:
                self.replicator.wait_kept(program.partition, program.id, length)
                return
            except Problem:
                eventlet.sleep(APPEND_RETRY_SECONDS)

    def open(self, request: OpenRequest) -> Program:
        """Open a program, or a sub-agent's program within its parent's budget.

        Raises
        ------
        Problem
            With verdict ``not run`` when limits, budget or replication refuse it.
        PartitionMovedError
            When another box owns the parent now.
        """
        section = self.limits.find_section(request.workspace)
        if len(self.programs) >= self.settings.max_programs:
            self.metrics.count_refusal("box_full")
            raise Problem(
                "box_full",
                "This box orders as many programs as it may; ask another entry.",
                status=503,
                retry_after=BOX_FULL_RETRY_AFTER_SECONDS,
            )
        if request.parent is not None:
            return self._open_child(request, section)
        self.admission.admit()
        try:
            return self._open_in(self.get_own_partition(), request, section, None)
        except PartitionMovedError as error:
            # Ownership was lost while the box was cut off; the box will get a new
            # partition, so the caller may retry.
            self.metrics.count_refusal("copies_unavailable")
            raise make_copies_problem(Verdict.NOT_RUN) from error

    def _open_in(
        self,
        partition: OwnedPartition,
        request: OpenRequest,
        section: WorkspaceSection,
        parent: Program | None,
    ) -> Program:
        partition.next_number += 1
        program_id = format_program_id(
            partition.name, partition.epoch, partition.next_number
        )
        budget = resolve_budget(request, section)
        if parent is not None:
            budget = self.child_budgets.reserve(parent, program_id, request, budget)
        now = self.clock.wall()
        deadline = now + budget.seconds
        root_opened_at = now
        if parent is not None and parent.opened is not None:
            deadline = min(deadline, parent.opened.deadline)
            root_opened_at = parent.opened.root_opened_at
        opened = ProgramOpened(
            workspace=request.workspace,
            budget=budget,
            opened_at=now,
            root_opened_at=root_opened_at,
            deadline=deadline,
            parent=request.parent,
        )
        program_log = ProgramLog()
        partition.logs[program_id] = program_log
        program = Program(program_id, partition, program_log)
        program.last_active_at = self.clock.monotonic()
        try:
            self.append(program, [opened])
        except Problem as problem:
            self.replicator.forget(partition, program_id)
            self.metrics.count_refusal(problem.code)
            raise Problem(
                problem.code,
                problem.detail,
                status=problem.status,
                retry_after=problem.retry_after,
            ) from problem
        self.programs[program_id] = program
        self.metrics.count("programs.opened")
        return program

    def _open_child(self, request: OpenRequest, section: WorkspaceSection) -> Program:
        parent = self.find(request.parent or "")
        if parent.workspace != request.workspace:
            raise Problem("wrong_workspace", "A sub-agent is of its parent's workspace")
        self.check_open(parent)
        return self._open_in(parent.partition, request, section, parent)

    def find(self, program_id: str) -> Program:
        """Return a program that this box owns.

        Raises
        ------
        PartitionMovedError
            When this box does not own the program.
        Problem
            ``unknown_program`` when it has expired or never existed;
            ``recovering`` while its records are being read.
        """
        name = parse_partition(program_id)
        partition = self.replicator.partitions.get(name)
        if partition is None or partition.is_lost:
            raise PartitionMovedError(name)
        self.replicator.confirm_owned(partition)
        program = self.programs.get(program_id)
        if program is None and partition.is_recovering:
            raise make_recovering_problem()
        if program is None:
            raise Problem(
                "unknown_program",
                f"Program {program_id} is not known (any more).",
                status=404,
                # The records of its calls are gone too, and some of them may have run.
                verdict=Verdict.MAY_HAVE_RUN,
            )
        if not program.is_ready:
            raise make_recovering_problem()
        return program

    def check_open(self, program: Program) -> None:
        """Raise ``program_ended`` when the program accepts no further calls."""
        if program.ended is not None or program.is_ending:
            self.metrics.count_refusal("program_ended")
            reason = program.ended.reason if program.ended else "ending"
            raise Problem(
                "program_ended", f"The program has ended: {reason}.", status=409
            )

    def end(self, program: Program, reason: str) -> None:
        """End a program and its sub-agents; refund its unused budget to its parent."""
        if program.ended is not None:
            return
        program.is_ending = True
        for child in list(program.child_reservations):
            if child in self.programs:
                self.end(self.programs[child], f"parent {reason}")
        with program.turn_lock:
            if program.ended is not None:
                return
            now = self.clock.wall()
            self.append(program, [ProgramEnded(reason=reason, ended_at=now)])
        self.metrics.count("programs.ended")
        self.child_budgets.refund(program)
        for listener in self.ended_listeners:
            listener(program)

    def drop_partition(self, partition: OwnedPartition) -> None:
        """Remove the programs of a partition that another box owns now."""
        for program_id, program in list(self.programs.items()):
            if program.partition is not partition:
                continue
            for run in program.runs.values():
                run.mark_moved()
            del self.programs[program_id]
        current = self.replicator.partitions.get(partition.name)
        if current is partition:
            del self.replicator.partitions[partition.name]

    def forget(self, program: Program) -> None:
        """Remove an ended program whose retention time is over."""
        self.programs.pop(program.id, None)
        self.replicator.forget(program.partition, program.id)
        self.metrics.count("programs.forgotten")


def make_recovering_problem() -> Problem:
    """Return the error for a program whose records are still being read."""
    return Problem(
        RECOVERING_CODE,
        "Another box has just taken the program over; ask again.",
        status=503,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=RECOVERING_RETRY_AFTER_SECONDS,
    )
