"""The size that the users plan for, from their letter, and what we assume."""

from __future__ import annotations

from typing import Final

NODES: Final = 380
RUNNERS: Final = 1_100
REQUESTS: Final = 13_000.0
TOKENS: Final = 4_400_000.0
PROGRAMS: Final = 290_000
HISTORY_TOKENS: Final = 680_000
WORKSPACES: Final = 340
DOMAINS: Final = 23
REGIONS: Final = 7
CHANGES_A_DAY: Final = 660
FAILURES_A_DAY: Final = 20
RESTARTS_A_DAY: Final = 290
CONTROL_CORES: Final = 0.014
CONTROL_BYTES: Final = 64_000_000
CONTROL_BYTES_A_SECOND: Final = 14_000.0

BYTES_A_TOKEN: Final = 4
COPIES: Final = 2
MODELS: Final = 14
# `subset_targets` and `load_seconds` for that many models; each box also polls its
# share of all runners.
SUBSET_TARGETS: Final = 2
LOAD_SECONDS: Final = 4.0
POLLED_TARGETS: Final = MODELS * SUBSET_TARGETS + RUNNERS / NODES
POLLS_A_SECOND: Final = POLLED_TARGETS / LOAD_SECONDS
# From docs/design/7-limits.md, at 38% of the limits.
LOANS_A_SECOND: Final = 1.8
STORE_WRITES: Final = 300.0
STORE_READS: Final = 2_000.0
LEASE_SECONDS: Final = 15.0
# The letter gives the longest history, not the mean one; both ends are shown.
HISTORY_SHARES: Final = (0.1, 1.0)
