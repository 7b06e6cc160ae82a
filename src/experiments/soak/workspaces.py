"""The workspaces of a soak: one without a limit, one with, and keys that pass."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    import random

MAIN_KEY: Final = "key-of-the-main-workspace"
LIMITED_KEY: Final = "key-of-the-limited-workspace"
LIMITED: Final = "limited"
# What the limited workspace may do, and by how much that may be exceeded.
CALLS_PER_SECOND: Final = 4.0
BURST: Final = 4.0
WINDOW_SECONDS: Final = 5.0
OVERRUN: Final = 0.1
SLACK: Final = 8.0
# A key that was taken away is of no use after this.
REVOKE_SECONDS: Final = 5.0
# Of plain calls, the share with a key that passes and with that of the limited one.
PASSING_SHARE: Final = 0.15
LIMITED_SHARE: Final = 0.3


class PassingKeys:
    """Keys of which each configuration has the newest only.

    Attributes
    ----------
    gone_at : dict of str to float
        When the store had confirmed that a key was taken away, monotonic.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.count = 0
        self.gone_at: dict[str, float] = {}

    @property
    def newest(self) -> str:
        """The key that the newest configuration has."""
        return f"passing-key-{self.count}"

    def draw(self, chance: random.Random) -> str:
        """Return the newest key or the one before."""
        count = max(0, self.count - chance.randint(0, 1))
        return f"passing-key-{count}"

    def note_gone(self, key: str, now: float) -> None:
        """Record that the store confirmed a configuration without a key."""
        with self.lock:
            self.gone_at.setdefault(key, now)


def list_workspaces(passing_key: str) -> list[dict[str, Any]]:
    """Return the workspaces as operators write them."""
    limit = {"RatePerS": CALLS_PER_SECOND, "Burst": BURST}
    return [
        {"Name": "main", "ApiKeys": [MAIN_KEY, passing_key], "Priority": 1},
        {"Name": LIMITED, "ApiKeys": [LIMITED_KEY], "Priority": 2, **limit},
    ]
