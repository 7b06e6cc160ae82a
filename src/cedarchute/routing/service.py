"""One service that routes lead to."""

from __future__ import annotations

from cedarchute.record import Record


class EngineTraits(Record):
    """What all engines of a model service have in common.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    cache_tokens : int
        Tokens that the memory of one engine holds.
    event_tokens : int
        Tokens that one event of a stream carries.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


class Service(Record):
    """A set of like targets; `engine` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
