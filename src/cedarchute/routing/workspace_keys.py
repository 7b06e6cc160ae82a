"""The keys of workspaces, stored as digests."""

from __future__ import annotations

import secrets
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.routing.workspace import Workspace

DIGEST_BYTES: Final = 16
# Random for each process, so that a leaked digest can't be attacked offline.
_SECRET: Final = secrets.token_bytes(DIGEST_BYTES)


class ContradictoryKeysError(ValueError):
    """Keys that don't identify one workspace; the message never contains a key."""

    code = "contradictory_keys"


def digest_key(key: bytes) -> bytes:
    """Return the keyed digest by which a key is looked up."""
    return blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()


class WorkspaceKeys:
    """Maps digests of keys to workspaces; the keys themselves are not stored."""

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
        """Add a key; raise `ContradictoryKeysError` if another workspace has it too."""
        if not text:
            raise ContradictoryKeysError(f"an empty key of {workspace.name!r}")
        digest = digest_key(text.encode())
        holder = self.by_digest.setdefault(digest, workspace)
        if holder is not workspace:
            names = f"{holder.name!r} and {workspace.name!r}"
            raise ContradictoryKeysError(f"one key belongs to {names}")

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace of the key with this digest, or None."""
        return self.by_digest.get(digest)
