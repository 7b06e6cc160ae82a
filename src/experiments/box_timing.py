"""Times of the daemons of a local site."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class BoxTiming:
    """Times of the daemons; short ones, so that failures show soon."""

    lease_seconds: float = 2.0
    heartbeat_seconds: float = 0.3
    takeover_seconds: float = 1.5
    entry_keep_seconds: float = 1.0
    sweep_seconds: float = 1.0
    order_seconds: float = 0.5
    idle_program_seconds: float = 60.0
    keep_answers_seconds: float = 60.0
    load_seconds: float = 0.3
    wanted: int = 2
    spare: int = 1
    subset_targets: int = 20
    coalesce_seconds: float = 0.03
    append_seconds: float = 3.0
    drain_seconds: float = 20.0
