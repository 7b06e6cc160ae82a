"""Where a played day lost its worth: ``python -m experiments.losses REPORT [LOG]``.

REPORT is what the bench writes of a day; LOG is what the boxes wrote meanwhile, which
tells why calls got answers of our own. The parts, in shares of the day's whole credit,
sum up to what lies between 1 and the day's worth.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

# A price below this is not worth a row.
LEAST_SHARE: Final = 0.0005
GIVEN_UP: Final = "Call given up."
# A box has to run for callers to reach it: nobody escapes this price.
UNAVOIDABLE: Final = "machine-seconds"
WORST_WINDOWS: Final = 5
COLUMNS: Final = ("late", "refused", "failed")


@dataclass(frozen=True)
class Loss:
    """A cause, and the share of the day's credit that it took."""

    cause: str
    share: float


def list_losses(report: dict[str, Any]) -> list[Loss]:
    """Return what each part of the score and each price took, the largest first."""
    losses = [
        Loss(f"{name} (weight {weight})", weight * (1.0 - reached))
        for name, weight, reached in report["parts"]
    ]
    losses += [Loss(f"price: {name}", share) for name, _, share in report["prices"]]
    kept = [loss for loss in losses if loss.share >= LEAST_SHARE]
    return sorted(kept, key=lambda loss: -loss.share)


def find_ceiling(report: dict[str, Any]) -> float:
    """Return the worth of a day on which everything owed is served by these boxes."""
    prices = {name: share for name, _, share in report["prices"]}
    return 1.0 - prices.get(UNAVOIDABLE, 0.0)


def list_worst_windows(report: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the spans that lost the most programs."""
    windows = report["windows"]
    lost = sorted(windows, key=lambda row: -sum(row[name] for name in COLUMNS))
    return [row for row in lost[:WORST_WINDOWS] if any(row[n] for n in COLUMNS)]


def count_given_up(lines: Iterable[str]) -> Counter[tuple[int, str]]:
    """Count the answers of our own in the logs of boxes, by status and reason."""
    counts: Counter[tuple[int, str]] = Counter()
    for line in lines:
        _, brace, rest = line.partition("{")
        if GIVEN_UP not in rest:
            continue
        try:
            document = json.loads(brace + rest)
        except ValueError:
            continue
        reason = drop_numbers(str(document.get("why", "")))
        counts[int(document.get("status", 0)), reason] += 1
    return counts


def drop_numbers(reason: str) -> str:
    """Return a reason without what differs from call to call."""
    words = reason.split()
    return " ".join(w for w in words if not any(letter.isdigit() for letter in w))


def describe(report: dict[str, Any], lines: Iterable[str] = ()) -> list[str]:
    """Return the table as lines."""
    whole = report["all"]
    ends = ", ".join(f"{name} {whole[name]}" for name in ("in_aim", *COLUMNS))
    rows = [
        f"worth {report['G']:.3f}, ceiling {find_ceiling(report):.3f}",
        f"asked {whole['n']}, {ends}, not owed {whole['not_owed']}",
    ]
    rows += [f"  {loss.share:.4f}  {loss.cause}" for loss in list_losses(report)]
    rows += [
        f"  from {row['name']} s: asked {row['n']}, "
        + ", ".join(f"{name} {row[name]}" for name in COLUMNS)
        for row in list_worst_windows(report)
    ]
    rows += [
        f"  {count:6} answers {status}: {reason}"
        for (status, reason), count in count_given_up(lines).most_common()
    ]
    return rows


def main() -> int:
    """Print the table of one day."""
    if len(sys.argv) not in (2, 3):
        sys.stderr.write("losses REPORT [LOG]\n")
        return 2
    report = json.loads(Path(sys.argv[1]).read_text())
    lines: Iterable[str] = ()
    if len(sys.argv) == 3:
        lines = Path(sys.argv[2]).read_text(errors="replace").splitlines()
    sys.stdout.write("\n".join(describe(report, lines)) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
