"""What one operators' file changes in another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarchute.ini import parse_sections

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True)
class Difference:
    """One key that differs; None stands for a key that is not there."""

    section: str
    key: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ [{self.section}] {self.key} = {self.after}"
        if self.after is None:
            return f"- [{self.section}] {self.key} = {self.before}"
        return f"~ [{self.section}] {self.key} = {self.before} -> {self.after}"


def find_differences(before: str, after: str) -> list[Difference]:
    """Return the keys in which two files differ."""
    old = parse_sections(before, "accepted file")
    new = parse_sections(after, "file")
    differences = []
    for section in sorted({*old, *new}):
        old_keys = old.get(section, {})
        new_keys = new.get(section, {})
        for key in sorted({*old_keys, *new_keys}):
            if old_keys.get(key) != new_keys.get(key):
                differences.append(
                    Difference(section, key, old_keys.get(key), new_keys.get(key))
                )
    return differences


def format_differences(differences: Sequence[Difference]) -> str:
    """Return one line for each difference."""
    return "\n".join(str(difference) for difference in differences) or "no change"
