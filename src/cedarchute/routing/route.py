"""Routes: which calls go to which services, and how."""

from __future__ import annotations

from enum import StrEnum

from cedarchute.record import Record


class Repeatability(StrEnum):
    """Whether a call that may have run can be repeated."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(Record):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(Record):
    """A path prefix of one host and how its calls are handled.

    Attributes
    ----------
    max_targets : int
        Number of targets that one call may be attempted on.
    timeout_seconds : float
        Timeout of a call.
    objective_seconds : float
        Latency objective: time to the response, or to its first event.
    rank : int
        Priority of the route; 0 is the highest.
    retains_turns : bool
        Whether calls are turns that send only their new input, since boxes keep the
        earlier ones.
    keep_seconds : float
        Retention of a turn after its end.
    is_public : bool
        Whether calls need no workspace key.
    is_resumable : bool
        Whether a stream that broke off may go on at another target.
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
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.repeatability is Repeatability.STREAM
