"""A sub-command of the tool."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


@dataclass(frozen=True)
class Command:
    """Its name, its words and what it does."""

    name: str
    usage: str
    summary: str
    details: str
    arguments: int
    run: Callable[[BoxClient, Output, list[str]], int]

    @property
    def help(self) -> str:
        """The whole help of the command."""
        return f"usage: cedarchute {self.usage}\n\n{self.summary}.\n{self.details}"
