"""How often targets failed lately, as entry boxes tell a holder."""

from __future__ import annotations

import time
from collections import Counter, deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

# Failures count for this long: some exchanges with every entry box of the domain.
WINDOW_SECONDS: Final = 2.0
# Bounds on memory and on answers, for a day on which everything fails.
KEPT_FAILURES: Final = 512
TOLD_TARGETS: Final = 16


class FailureBoard:
    """Counts over a short window; nothing of it is written down."""

    def __init__(self) -> None:
        self.failures: deque[tuple[float, str]] = deque(maxlen=KEPT_FAILURES)

    def take(self, failed: Iterable[str]) -> None:
        """Take in the targets of failed calls, one id for each."""
        now = time.monotonic()
        self.failures.extend((now, target_id) for target_id in failed)

    def tell(self) -> dict[str, int]:
        """Return how often targets failed lately, for those that failed most."""
        oldest = time.monotonic() - WINDOW_SECONDS
        while self.failures and self.failures[0][0] < oldest:
            self.failures.popleft()
        counts = Counter(target_id for _, target_id in self.failures)
        return dict(counts.most_common(TOLD_TARGETS))
