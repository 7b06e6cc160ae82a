"""The bytes that one call or connection holds for one cause."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from cedarchute.pressure.answer_memory import AnswerMemory
    from cedarchute.pressure.held_bytes import HeldBytes, HeldCause


class HeldAmount:
    """Counts bytes that accumulate; all of them are released at the end of a block."""

    def __init__(self, held: HeldBytes | AnswerMemory, cause: HeldCause) -> None:
        self.held = held
        self.cause = cause
        self.count = 0

    def __enter__(self) -> Self:
        """Begin a block at whose end everything is released."""
        return self

    def __exit__(self, *_: object) -> None:
        """Release everything."""
        self.release()

    def grow(self, count: int) -> None:
        """Count bytes that are held from now on."""
        self.count += count
        self.held.add(self.cause, count)

    def shrink(self, count: int) -> None:
        """Count bytes that are no longer held; those released before are skipped."""
        count = min(count, self.count)
        self.count -= count
        self.held.remove(self.cause, count)

    def resize(self, count: int) -> None:
        """Count `count` bytes as held instead of those before."""
        if count > self.count:
            self.grow(count - self.count)
        else:
            self.shrink(self.count - count)

    def release(self) -> None:
        """Count all bytes as no longer held."""
        self.shrink(self.count)
