"""Digests by which the attempts of one request are recognised as the same."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final

from cedarchute.platform.call_headers import read_request_identity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.calls.call import Call
    from cedarchute.relay.caller_request import CallerRequest

DIGEST_BYTES: Final = 16


def compute_request_digest(request: CallerRequest, call: Call) -> str:
    """Return the digest of a request, which all of its attempts share.

    Requests of other workspaces, programs and turns differ even if their content is the
    same: a caller can't have another one's request refused, and a request that many
    callers send is rarely one request.
    """
    return _compute_digest(
        (
            call.workspace.encode(),
            request.host.encode(),
            request.method,
            request.target,
            *read_request_identity(request),
            request.body,
        )
    )


def compute_content_digest(request: CallerRequest) -> str:
    """Return the digest of what a target is asked, whoever asks it."""
    return _compute_digest((request.method, request.target, request.body))


def _compute_digest(parts: Iterable[bytes]) -> str:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # The length keeps a part from running into the next one.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
