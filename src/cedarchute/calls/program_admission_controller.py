"""Asks, before a call is booked, whether its program is let in."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict, defaultdict
from itertools import product
from typing import TYPE_CHECKING, Final

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.decisions.deadline_usage import DeadlineUsage
from cedarchute.decisions.program_admission import (
    MIN_SHEDDING_SLOWDOWN,
    AdmissionDecision,
    AdmissionInputs,
    compute_shedding_hash,
    decide_admission,
)
from cedarchute.decisions.slowdown_meter import SlowdownMeter
from cedarchute.turns.holder_fanout import NoQuorumError

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.metrics import Metrics
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.turns.turn_admission import ProgramUsage
    from cedarchute.turns.turn_quorum import TurnQuorum

log = logging.getLogger("cedarchute.calls")

# Programs that this box knows to have begun: about what it meets in a minute.
MOST_KNOWN: Final = 4096


class ProgramAdmissionController:
    """Keeps what decides on new programs, by service; programs under way pass."""

    def __init__(
        self,
        quorum: TurnQuorum,
        routes: ActiveRouteTable,
        metrics: Metrics,
    ) -> None:
        self.quorum = quorum
        self.routes = routes
        self.metrics = metrics
        self.meters: defaultdict[str, SlowdownMeter] = defaultdict(SlowdownMeter)
        self.uses: defaultdict[str, DeadlineUsage] = defaultdict(DeadlineUsage)
        self.known: OrderedDict[str, None] = OrderedDict()

    def check(self, call: Call, route: Route, service: str) -> None:
        """Let a call pass.

        Raises
        ------
        CallRefusedError
            When it would begin a program that is not let in; nothing ran.
        """
        terms = call.program
        program = call.program_key
        if terms.previous_turn or program in self.known:
            return
        slowdown = self.meters[service].measure_slowdown(time.monotonic())
        waited = 0.0
        if slowdown >= MIN_SHEDDING_SLOWDOWN and program:
            standing = self.read_standing(program)
            if standing is None or standing.spent:
                self.note_known(program)
                return
            waited = standing.age_seconds or 0.0
        inputs = AdmissionInputs(
            slowdown=slowdown,
            typical_deadline_usage=self.uses[route.name].share,
            lower_ranks=self.count_ranks_behind(call, route),
            shedding_hash=compute_shedding_hash(program or call.id),
            soft_deadline_seconds=terms.soft_deadline_seconds,
            waited_seconds=waited,
        )
        decision = decide_admission(inputs)
        log_decision(terms.program, service, inputs, decision)
        if decision.admitted:
            self.note_known(program)
            return
        self.metrics.count_refusal("overload")
        raise CallRefusedError(503, "overload", decision.retry_after_seconds)

    def read_standing(self, program: str) -> ProgramUsage | None:
        """Return what holders know of a program, or None when they don't answer."""
        try:
            return self.quorum.read_usage(program)
        except NoQuorumError as error:
            # Booking the call asks the same holders, and says so if they are away.
            log.info("Holders don't tell of a program.", extra={"why": str(error)})
            return None

    def note_end(
        self, route: Route, service: str, used_seconds: float, left_seconds: float
    ) -> None:
        """Take in the end of a turn, and how much of its program's time it left."""
        now = time.monotonic()
        slowdown = self.meters[service].measure_slowdown(now)
        use = self.uses[route.name]
        use.record_turn(now, slowdown, used_seconds, left_seconds)

    def forget_target(self, target: str) -> None:
        """Forget the pace of a target that is gone."""
        for meter in self.meters.values():
            meter.forget(target)

    def count_ranks_behind(self, call: Call, route: Route) -> int:
        """Return how many ranks of streams are less important than this call's.

        A workspace's rank goes before that of a route.
        """
        table = self.routes.table
        routes = table.routes if table else ()
        route_ranks = {r.rank for r in routes if r.is_stream}
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

    def note_known(self, program: str) -> None:
        """Remember a program that was let in."""
        if not program:
            return
        self.known[program] = None
        if len(self.known) > MOST_KNOWN:
            self.known.popitem(last=False)


def log_decision(
    program: str, service: str, inputs: AdmissionInputs, decision: AdmissionDecision
) -> None:
    """Log whether a program is let in, and from what that was decided."""
    log.info(
        "Program let in." if decision.admitted else "Program not let in.",
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
