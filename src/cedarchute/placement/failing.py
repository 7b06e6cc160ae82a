"""When a target counts as failing for a failure domain."""

from __future__ import annotations

from typing import Final

# A mean over boxes: one box with a broken link of its own stays below it among others.
FAILING_SHARE: Final = 0.05


def is_failing_share(share: float) -> bool:
    """Return whether a target with this share of failures counts as failing."""
    return share >= FAILING_SHARE
