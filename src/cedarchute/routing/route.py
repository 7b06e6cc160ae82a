"""One route: which calls go to which service, and how."""

from __future__ import annotations

from enum import StrEnum

from cedarchute.record import Record


class Repeatability(StrEnum):
    """What may be done with a call that may have run."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(Record):
    """A service's share of the calls of a route, in any unit."""

    service: str
    weight: float


class Route(Record):
    """A prefix of paths of one host.

    Attributes
    ----------
    max_targets : int
        Targets that one call may run on.
    timeout_seconds : float
        The longest that a call is held.
    objective_seconds : float
        The time within which an answer, or its first event, is in time.
    rank : int
        Importance of the route; 0 goes first.
    retains_turns : bool
        Whether calls are turns that bring only their new input.
    keep_seconds : float
        How long a turn is kept after its end.
    is_public : bool
        Whether its calls need no key of a workspace.
    """

    name: str
    host: str
    prefix: bytes
    repeatability: Repeatability
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    objective_seconds: float
    rank: int = 0
    max_targets: int = 1
    retains_turns: bool = False
    retention_seconds: float = 0.0
    is_public: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams of events."""
        return self.repeatability is Repeatability.STREAM
