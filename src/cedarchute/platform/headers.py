"""The platform's headers, by what they hold."""

from __future__ import annotations

from typing import Final

# One try of a caller. Targets send it back, which tells whose answer it is.
CALL_ID: Final = b"attempt-id"
# Milliseconds that the caller still waits, not a point in time.
PATIENCE_MS: Final = b"deadline-ms"
# The start of a target that alone may run the request.
EXPECTED_TARGET: Final = b"expect-instance"
# Set by a target that turned a request away unread.
NOT_RUN: Final = b"not-executed"
RETRY_AFTER: Final = b"retry-after"
PROGRAM: Final = b"program-id"
# Milliseconds until the whole program should be over; it is late after that, not lost.
PROGRAM_AIM_MS: Final = b"program-deadline-ms"
BUDGET: Final = b"token-budget"
PREVIOUS_TURN: Final = b"previous-turn"
# Two numbers: tokens of the prompt, and the most tokens that come out.
TOKENS: Final = b"token-count"
# A caller's key, behind a word for the scheme; a secret.
CALLER_KEY: Final = b"authorization"
# The workspace that holds the caller's key; targets go by it.
WORKSPACE: Final = b"tenant"
# Proof of a target that the answer is its own; never on an answer of ours.
PROOF: Final = b"server-seal"

# Only the system may set these towards a target: a caller's are not passed on.
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
# Set anew for each send.
REWRITTEN: Final = SYSTEM_ONLY | {PATIENCE_MS, b"expect"}
# Not passed on either where workspaces hold keys.
REWRITTEN_WITH_KEYS: Final = REWRITTEN | {CALLER_KEY, WORKSPACE}
