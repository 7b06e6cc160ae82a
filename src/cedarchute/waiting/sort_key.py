"""Which of the calls that wait for the same service goes next.

Answers a burst of one kind of call: first come, first served would have all other
kinds stand behind it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from cedarchute.waiting.waiting_call import WaitingCall

# Rank of the workspace, rank of the route, and 1 for a new program; least goes first.
Standing: TypeAlias = tuple[int, int, int]

# A call that waited for this long goes one step up, so that none waits for ever. Longer
# than most turns wait, so that ranks decide in a burst of a few seconds.
STEP_SECONDS: Final = 1.0


def compute_sort_key(call: WaitingCall, now: float) -> tuple[int, int, int, float]:
    """Return the key of a waiting call; the least one goes first.

    Calls compare by the rank of their workspace, that of their route, whether their
    program is under way, and the time at which they have no slack left. Steps for the
    time waited lift a call past the last of these differences first.
    """
    steps = int(max(0.0, now - call.entered_at) / STEP_SECONDS)
    workspace_rank, route_rank, newness = find_standing(call)
    newness, steps = lift(newness, steps)
    route_rank, steps = lift(route_rank, steps)
    workspace_rank, _ = lift(workspace_rank, steps)
    return workspace_rank, route_rank, newness, find_slack_end(call)


def find_standing(call: WaitingCall) -> Standing:
    """Return what decides first, regardless of the time waited and of slack."""
    return call.workspace_rank, call.route_rank, 0 if call.is_under_way else 1


def lift(rank: int, steps: int) -> tuple[int, int]:
    """Return a rank after at most `steps`, and the steps that remain."""
    used = min(rank, steps)
    return rank - used, steps - used


def find_slack_end(call: WaitingCall) -> float:
    """Return when a call has no slack left: it stays put while the call waits.

    A call whose slack is used up when it comes counts from its arrival: programs that
    are late already must not hold up those that can still be in time.
    """
    if call.slack_seconds is None:
        return call.deadline
    return call.entered_at + max(0.0, call.slack_seconds)
