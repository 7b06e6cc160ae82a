"""Names of the platform's request and response headers."""

from __future__ import annotations

from typing import Final

# Identifies one attempt of a caller. Targets echo it in their response.
CALL_ID: Final = b"attempt-id"
# Remaining caller timeout in milliseconds, not a point in time.
CALLER_TIMEOUT_MS: Final = b"deadline-ms"
# The target incarnation that may run the request; any other must reject it.
EXPECTED_TARGET: Final = b"expect-instance"
# Id of the target incarnation that answered a health check.
INSTANCE: Final = b"instance-id"
# Set by a target that rejected a request without running it.
NOT_RUN: Final = b"not-executed"
RETRY_AFTER: Final = b"retry-after"
PROGRAM: Final = b"program-id"
# One line of turns within a program; sub-agents have their own.
LINE: Final = b"session-id"
# Soft deadline of the whole program in milliseconds; not enforced.
PROGRAM_SOFT_DEADLINE_MS: Final = b"program-deadline-ms"
BUDGET: Final = b"token-budget"
# Id of the last event that the caller of a stream got; the target continues after it.
LAST_EVENT_ID: Final = b"last-event-id"
PREVIOUS_TURN: Final = b"previous-turn"
# Two numbers: prompt tokens and maximum output tokens.
TOKENS: Final = b"token-count"
MODEL: Final = b"model"
# Digests of the parts of a prompt; the last one is the request's or its line's own.
PROMPT_PARTS: Final = b"prefix-hash"
# Names the object that a request is about.
OBJECT_COOKIE: Final = b"affinity-key"
# Authentication scheme and the caller's secret key.
CALLER_KEY: Final = b"authorization"
# The workspace that owns the caller's key, as passed to targets.
WORKSPACE: Final = b"tenant"
# A target's proof that it produced the response; boxes never set it.
PROOF: Final = b"server-seal"

# Set only by boxes on requests to targets; dropped from callers' requests.
SYSTEM_ONLY: Final = frozenset(
    (
        EXPECTED_TARGET,
        b"expect-version",
        b"request-priority",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
# Replaced on each attempt.
REWRITTEN: Final = SYSTEM_ONLY | {CALLER_TIMEOUT_MS, b"expect"}
# Also dropped when workspaces have API keys.
REWRITTEN_WITH_KEYS: Final = REWRITTEN | {CALLER_KEY, WORKSPACE}
