"""When a target counts as failing for a failure domain."""

from __future__ import annotations

from typing import Final

# Of the mean over the boxes that used the target lately: one failure at one of three.
FAILING_SHARE: Final = 0.05


def is_failing_share(share: float) -> bool:
    """Return whether a target with this share of failures counts as failing."""
    return share >= FAILING_SHARE
