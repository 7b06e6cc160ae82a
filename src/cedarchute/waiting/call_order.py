"""What a box knows of the order in which its calls go."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from cedarchute.waiting.call_urgency import compute_urgency
from cedarchute.waiting.waiting_call import WaitingCall

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.waiting.capacity_line import CapacityLine

# Programs that this box remembers to be under way, about those of a minute; the oldest
# are dropped first.
MAX_PROGRAMS: Final = 4096
# Weight of the newest turn in the usual time of one, which covers about ten turns.
EWMA_WEIGHT: Final = 0.15


class CallOrder:
    """Describes calls for the line of this box and for engines.

    Attributes
    ----------
    line : CapacityLine
        Where calls wait.
    programs : OrderedDict
        Keys of programs of which a target took a call from this box.
    turn_seconds : dict of str to float
        How long a call of each service usually takes.
    """

    def __init__(self, line: CapacityLine, routes: ActiveRouteTable) -> None:
        self.line = line
        self.routes = routes
        self.programs: OrderedDict[str, None] = OrderedDict()
        self.turn_seconds: dict[str, float] = {}

    def describe(
        self,
        call: Call,
        route: Route,
        service: str,
        read_at: float,
        deadline: float,
        latest_start: float,
    ) -> WaitingCall:
        """Return what decides when a call goes next.

        Parameters
        ----------
        read_at : float
            Monotonic time at which the call was read.
        """
        now = time.monotonic()
        slack_seconds = call.program.soft_deadline_seconds
        if slack_seconds is not None:
            slack_seconds -= now - read_at + self.find_usual_seconds(route, service)
        return WaitingCall(
            id=call.id,
            service=service,
            workspace_rank=find_workspace_rank(call),
            route_rank=route.rank,
            is_under_way=self.is_under_way(call),
            slack_seconds=slack_seconds,
            entered_at=now,
            deadline=deadline,
            latest_start=min(deadline, latest_start),
        )

    def is_under_way(self, call: Call) -> bool:
        """Return whether a call's program is known to have begun before."""
        return bool(call.program.previous_turn) or call.program_key in self.programs

    def find_usual_seconds(self, route: Route, service: str) -> float:
        """Return how long a call usually takes, the route's objective if unknown."""
        return self.turn_seconds.get(service, route.objective_seconds)

    def find_urgency(self, waiting_call: WaitingCall, route: Route) -> int | None:
        """Return the urgency that engines are told; None for other targets."""
        if not route.is_stream:
            return None
        ranks = self.list_ranks()
        own = (waiting_call.workspace_rank, waiting_call.route_rank)
        place = sum(1 for rank in ranks if rank < own)
        slack_seconds = waiting_call.slack_seconds
        if slack_seconds is not None:
            slack_seconds -= time.monotonic() - waiting_call.entered_at
        return compute_urgency(
            min(place, max(0, len(ranks) - 1)),
            max(1, len(ranks)),
            waiting_call.is_under_way,
            slack_seconds,
            self.find_usual_seconds(route, waiting_call.service),
        )

    def list_ranks(self) -> list[tuple[int, int]]:
        """Return the ranks that calls of streams may have, by workspace and route."""
        table = self.routes.table
        if table is None:
            return []
        route_ranks = {route.rank for route in table.routes if route.is_stream}
        workspace_ranks = (table.keys.ranks if table.keys else None) or {0}
        return [(first, second) for first in workspace_ranks for second in route_ranks]

    def record_placed(
        self, call: Call, waiting_call: WaitingCall, has_waited: bool
    ) -> None:
        """Take in that a target took a call."""
        key = call.program_key
        if key:
            self.programs[key] = None
            self.programs.move_to_end(key)
            if len(self.programs) > MAX_PROGRAMS:
                self.programs.popitem(last=False)
        self.line.note_placed(waiting_call, has_waited)

    def record_end(self, service: str, seconds: float | None) -> None:
        """Take in that a call left its target, with its time if it was answered."""
        if seconds is not None:
            usual = self.turn_seconds.setdefault(service, seconds)
            self.turn_seconds[service] = usual + EWMA_WEIGHT * (seconds - usual)
        self.line.note_free(service)


def find_workspace_rank(call: Call) -> int:
    """Return the rank of a call's workspace, 0 if there are none."""
    identity = call.caller_identity
    if identity is None or identity.workspace is None:
        return 0
    return identity.workspace.rank
