"""What is known about whether a request ran."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """Say whether a request may have run at its target.

    Only ``NOT_RUN`` allows a request that may not be repeated to be sent again.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"
