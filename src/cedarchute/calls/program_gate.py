"""Asks, before a call is booked, whether its program is let in."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict, defaultdict
from itertools import product
from typing import TYPE_CHECKING, Final

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.decisions.aim_use import AimUse
from cedarchute.decisions.pace_meter import PaceMeter
from cedarchute.decisions.program_admission import (
    STRAINED_SLOWDOWN,
    AdmissionDecision,
    AdmissionInputs,
    decide_admission,
    find_standing,
)
from cedarchute.turns.holder_fanout import NoQuorumError

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.metrics import Metrics
    from cedarchute.routing.route import Route
    from cedarchute.routing.route_book import RouteBook
    from cedarchute.turns.turn_admission import ProgramStanding
    from cedarchute.turns.turn_quorum import TurnQuorum

log = logging.getLogger("cedarchute.calls")

# Programs that this box knows to have begun: about what it meets in a minute.
MOST_KNOWN: Final = 4096


class ProgramGate:
    """Keeps what decides on new programs, by service; programs under way pass."""

    def __init__(
        self,
        quorum: TurnQuorum,
        routes: RouteBook,
        metrics: Metrics,
    ) -> None:
        self.quorum = quorum
        self.routes = routes
        self.metrics = metrics
        self.meters: defaultdict[str, PaceMeter] = defaultdict(PaceMeter)
        self.uses: defaultdict[str, AimUse] = defaultdict(AimUse)
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
        if terms.previous or program in self.known:
            return
        slowdown = self.meters[service].measure_slowdown(time.monotonic())
        waited = 0.0
        if slowdown >= STRAINED_SLOWDOWN and program:
            standing = self.read_standing(program)
            if standing is None or standing.spent:
                self.note_known(program)
                return
            waited = standing.age_seconds or 0.0
        inputs = AdmissionInputs(
            slowdown=slowdown,
            usual_use=self.uses[route.name].share,
            ranks_behind=self.count_ranks_behind(call, route),
            standing=find_standing(program or call.id),
            aim_seconds=terms.aim_seconds,
            waited_seconds=waited,
        )
        decision = decide_admission(inputs)
        log_decision(terms.program, service, inputs, decision)
        if decision.admitted:
            self.note_known(program)
            return
        self.metrics.count_refusal("overload")
        raise CallRefusedError(503, "overload", decision.retry_after_seconds)

    def read_standing(self, program: str) -> ProgramStanding | None:
        """Return what holders know of a program, or None when they don't answer."""
        try:
            return self.quorum.read_standing(program)
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
        permit = call.permit
        if permit is None or permit.workspace is None or table.keys is None:
            return len([rank for rank in route_ranks if rank > route.rank])
        own = (permit.workspace.rank, route.rank)
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
            "usual_use": round(inputs.usual_use, 2),
            "expected_use": round(inputs.expected_use, 2),
            "aim_seconds": inputs.aim_seconds,
            "waited_seconds": round(inputs.waited_seconds, 2),
            "ranks_behind": inputs.ranks_behind,
            "standing": round(inputs.standing, 2),
            "refused_share": round(decision.refused_share, 2),
            "retry_after": round(decision.retry_after_seconds, 2),
        },
    )
