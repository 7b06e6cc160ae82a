"""The bytes that a box holds for callers and targets."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

# Another box probably has room at once; this one has once a slow caller is ended.
FULL_RETRY_SECONDS: Final = 0.25


class HeldCause(StrEnum):
    """What bytes are held for."""

    REQUEST_BODY = "request_body"
    REQUEST_HEAD = "request_head"
    ANSWER = "answer"
    KEPT_EVENTS = "kept_events"
    HISTORY = "history"


class HeldBytes(Protocol):
    """Counts the bytes that are held, by cause."""

    @property
    def is_near_bound(self) -> bool:
        """Whether targets should be read no faster than callers read."""
        ...

    @property
    def is_at_bound(self) -> bool:
        """Whether nothing large should be let in."""
        ...

    @property
    def is_full(self) -> bool:
        """Whether small calls should be refused as well."""
        ...

    def has_room(self, count: int) -> bool:
        """Return whether `count` more bytes stay below the bound."""
        ...

    def add(self, cause: HeldCause, count: int) -> None:
        """Count bytes that are held from now on."""
        ...

    def remove(self, cause: HeldCause, count: int) -> None:
        """Count bytes that are no longer held."""
        ...

    def holding(self, cause: HeldCause, count: int) -> AbstractContextManager[None]:
        """Count bytes as held for as long as the block runs."""
        ...
