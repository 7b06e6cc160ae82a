"""Prints tables for people and JSON for scripts."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True)
class Output:
    """Where results go and in which form."""

    is_json: bool

    def show(self, document: object, text: str) -> None:
        """Print `document` as JSON, or `text`."""
        print(json.dumps(document, indent=2) if self.is_json else text)

    def show_table(
        self, document: object, heads: Sequence[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print `document` as JSON, or a table."""
        self.show(document, format_table(heads, rows))


def format_table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with columns as wide as they need to be."""
    cells = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(heads))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)
