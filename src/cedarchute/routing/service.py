"""Services, the destinations of routes."""

from __future__ import annotations

from cedarchute.record import Record


class EngineTraits(Record):
    """Properties shared by all engines of a model service.

    Attributes
    ----------
    slots : int
        Requests that one engine runs concurrently.
    cache_tokens : int
        Tokens that the cache of one engine holds.
    event_tokens : int
        Tokens per event of a stream.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


class Service(Record):
    """A set of equivalent targets; `engine` is None for plain services.

    Attributes
    ----------
    health_path : str
        Path at which its targets answer whether they are well; empty if they do not.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    health_path: str = ""
