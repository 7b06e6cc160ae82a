"""The keys of workspaces, kept as digests."""

from __future__ import annotations

import secrets
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.routing.workspace import Workspace

DIGEST_BYTES: Final = 16
# Drawn at each start: a digest that shows up somewhere cannot be tried out elsewhere.
_SECRET: Final = secrets.token_bytes(DIGEST_BYTES)


class ContradictoryKeysError(ValueError):
    """Keys that don't say whose a call is; names workspaces, never a key."""

    code = "contradictory_keys"


def digest_key(key: bytes) -> bytes:
    """Return what a key is compared by."""
    return blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()


class WorkspaceKeys:
    """Finds the workspace that holds a key; the keys themselves are not kept."""

    def __init__(self, keys: Iterable[tuple[Workspace, tuple[str, ...]]]) -> None:
        self.workspaces: dict[str, Workspace] = {}
        self.by_digest: dict[bytes, Workspace] = {}
        for workspace, texts in keys:
            if workspace.name in self.workspaces:
                raise ContradictoryKeysError(f"workspace {workspace.name!r} twice")
            self.workspaces[workspace.name] = workspace
            for text in texts:
                self.add(workspace, text)

        self.ranks = frozenset(w.rank for w in self.workspaces.values())

    def add(self, workspace: Workspace, text: str) -> None:
        """Take in a key; raise `ContradictoryKeysError` if it is another one's too."""
        if not text:
            raise ContradictoryKeysError(f"an empty key of {workspace.name!r}")
        digest = digest_key(text.encode())
        holder = self.by_digest.setdefault(digest, workspace)
        if holder is not workspace:
            names = f"{holder.name!r} and {workspace.name!r}"
            raise ContradictoryKeysError(f"one key belongs to {names}")

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds the key with this digest, or None."""
        return self.by_digest.get(digest)
