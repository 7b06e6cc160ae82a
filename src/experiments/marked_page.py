"""Replaces the part of a page that a command makes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class MarkMissingError(Exception):
    """A page has no part of that name."""

    code = "mark_missing"


def replace_marked(page: Path, name: str, text: str) -> None:
    """Put `text` between the begin and end marks of `name`."""
    begin = f"<!-- begin {name} -->"
    end = f"<!-- end {name} -->"
    old = page.read_text()
    if begin not in old or end not in old:
        raise MarkMissingError(f"{page.name}: no marks of {name}")
    head, _, rest = old.partition(begin)
    _, _, tail = rest.partition(end)
    page.write_text(f"{head}{begin}\n\n{text}\n\n{end}{tail}")
