"""Admission control for new programs."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict, defaultdict
from itertools import product
from typing import TYPE_CHECKING, Final

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.decisions.aim_use import DeadlineUsage
from cedarchute.decisions.pace_meter import SlowdownMeter
from cedarchute.decisions.program_admission import (
    MIN_SHEDDING_SLOWDOWN,
    AdmissionDecision,
    AdmissionInputs,
    compute_shedding_hash,
    decide_admission,
)
from cedarchute.turns.holder_fanout import NoQuorumError

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.metrics import Metrics
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.turns.turn_admission import ProgramUsage
    from cedarchute.turns.turn_quorum import TurnQuorum

log = logging.getLogger("cedarchute.calls")

# Admitted or running programs that this box remembers, about those of a minute; the
# oldest are dropped first.
MAX_ADMITTED_PROGRAMS: Final = 4096


class ProgramAdmissionController:
    """Admits or rejects new programs under load; running programs always pass."""

    def __init__(
        self,
        quorum: TurnQuorum,
        routes: ActiveRouteTable,
        metrics: Metrics,
    ) -> None:
        self.quorum = quorum
        self.routes = routes
        self.metrics = metrics
        self.slowdown_meters: defaultdict[str, SlowdownMeter] = defaultdict(
            SlowdownMeter
        )
        self.deadline_usages: defaultdict[str, DeadlineUsage] = defaultdict(
            DeadlineUsage
        )
        self.admitted_programs: OrderedDict[str, None] = OrderedDict()

    def check(self, call: Call, route: Route, service: str) -> None:
        """Return if the call is admitted.

        Raises
        ------
        CallRefusedError
            When the call would start a program that is rejected; nothing ran.
        """
        context = call.program
        program = call.program_key
        if context.previous_turn or program in self.admitted_programs:
            return
        slowdown = self.slowdown_meters[service].measure_slowdown(time.monotonic())
        program_age = 0.0
        if slowdown >= MIN_SHEDDING_SLOWDOWN and program:
            usage = self.read_usage(program)
            if usage is None or usage.spent:
                self.remember_admitted(program)
                return
            program_age = usage.age_seconds or 0.0
        inputs = AdmissionInputs(
            slowdown=slowdown,
            typical_deadline_usage=self.deadline_usages[route.name].share,
            lower_ranks=self.count_lower_ranks(call, route),
            shedding_hash=compute_shedding_hash(program or call.id),
            soft_deadline_seconds=context.soft_deadline_seconds,
            waited_seconds=program_age,
        )
        decision = decide_admission(inputs)
        log_decision(context.program, service, inputs, decision)
        if decision.admitted:
            self.remember_admitted(program)
            return
        self.metrics.count_refusal("overload")
        raise CallRefusedError(503, "overload", decision.retry_after_seconds)

    def read_usage(self, program: str) -> ProgramUsage | None:
        """Return the usage of a program, or None if its holders do not answer."""
        try:
            return self.quorum.read_usage(program)
        except NoQuorumError as error:
            # Reserving the call's tokens asks the same holders and raises if they are
            # unreachable.
            log.info(
                "Holders did not report the usage of a program.",
                extra={"why": str(error)},
            )
            return None

    def record_turn_end(
        self, route: Route, service: str, used_seconds: float, left_seconds: float
    ) -> None:
        """Record how much of its program's time a finished turn used and left."""
        now = time.monotonic()
        slowdown = self.slowdown_meters[service].measure_slowdown(now)
        deadline_usage = self.deadline_usages[route.name]
        deadline_usage.record_turn(now, slowdown, used_seconds, left_seconds)

    def forget_target(self, target: str) -> None:
        """Drop the latency statistics of a removed target."""
        for meter in self.slowdown_meters.values():
            meter.forget(target)

    def count_lower_ranks(self, call: Call, route: Route) -> int:
        """Return the number of stream ranks that are less important than the call's.

        Ranks compare by workspace first, then by route.
        """
        table = self.routes.table
        routes = table.routes if table else ()
        route_ranks = {entry.rank for entry in routes if entry.is_stream}
        caller_identity = call.caller_identity
        if (
            caller_identity is None
            or caller_identity.workspace is None
            or table.keys is None
        ):
            return len([rank for rank in route_ranks if rank > route.rank])
        own = (caller_identity.workspace.rank, route.rank)
        workspaces = table.keys.ranks
        return len([1 for pair in product(workspaces, route_ranks) if pair > own])

    def remember_admitted(self, program: str) -> None:
        """Let later calls of a program pass without a decision."""
        if not program:
            return
        self.admitted_programs[program] = None
        if len(self.admitted_programs) > MAX_ADMITTED_PROGRAMS:
            self.admitted_programs.popitem(last=False)


def log_decision(
    program: str, service: str, inputs: AdmissionInputs, decision: AdmissionDecision
) -> None:
    """Log an admission decision and its inputs."""
    log.info(
        "Program admitted." if decision.admitted else "Program rejected.",
        extra={
            "program": program,
            "service": service,
            "slowdown": round(inputs.slowdown, 2),
            "usual_use": round(inputs.typical_deadline_usage, 2),
            "expected_use": round(inputs.expected_deadline_usage, 2),
            "aim_seconds": inputs.soft_deadline_seconds,
            "waited_seconds": round(inputs.waited_seconds, 2),
            "ranks_behind": inputs.lower_ranks,
            "standing": round(inputs.shedding_hash, 2),
            "refused_share": round(decision.refused_share, 2),
            "retry_after": round(decision.retry_after_seconds, 2),
        },
    )
