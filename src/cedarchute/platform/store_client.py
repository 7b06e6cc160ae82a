"""A client of the platform's key-value service.

The service speaks HTTP with JSON: ranges in pages, transactions under expected
revisions, leases and long-polling watches. Each value that Cedarchute swaps in is
unique to its writer, so a swap whose reply was lost is resolved by reading back.
"""

from __future__ import annotations

import json
import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlencode

import urllib3

from cedarchute.host_pools import HostPools
from cedarchute.platform.store_codec import encode_value, read_entry
from cedarchute.platform.store_entry import (
    StoreChange,
    StoreEntry,
    StoreListing,
    StoreReading,
    SwapResult,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.store")

SWAP_ATTEMPTS: Final = 3
CONNECTIONS: Final = 8
JSON_HEADERS: Final = {"Content-Type": "application/json"}

# Long-poll timeout of a watch. Each call is billed; the platform allows 30 s.
WATCH_WAIT_SECONDS: Final = 25.0
# Added to the client's read timeout for delays of the service.
WATCH_GRACE_SECONDS: Final = 1.0

OK: Final = 200
NOT_FOUND: Final = 404
HISTORY_GONE: Final = 410
CONFLICT: Final = 412


class StoreUnavailableError(Exception):
    """The store gave no valid response; the effect of the call is unknown."""

    code = "store_unavailable"


class HistoryGoneError(StoreUnavailableError):
    """The store has compacted the changes; the reader must list again."""

    code = "history_gone"


class LeaseGoneError(Exception):
    """The store no longer knows the lease."""

    code = "lease_gone"


def name_call(path: str) -> str:
    """Return the operation in a path, without any id, for metric names."""
    return path.split("/")[1].removeprefix("kv-")


@contextmanager
def _reject_malformed(path: str) -> Iterator[None]:
    """Raise StoreUnavailableError when a response lacks required fields."""
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise StoreUnavailableError(f"{path}: answer not understood: {error!r}") from (
            error
        )


class StoreClient:
    """Calls the store; every failure is a `StoreUnavailableError`."""

    def __init__(
        self, address: Address, metrics: Metrics, timeout: float = 2.0
    ) -> None:
        self.address = address
        self.metrics = metrics
        self.timeout = timeout
        self.pools = HostPools(CONNECTIONS, hosts=1)

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry under `key`, or None."""
        return self.read(key).entry

    def read(self, key: str) -> StoreReading:
        """Return the entry under `key`, and the store's current revision."""
        status, answer = self._call("GET", "/kv-key", {"PrivateKey": key})
        if status != OK:
            return StoreReading(None, 0)
        with _reject_malformed("/kv-key"):
            return StoreReading(read_entry(answer), int(answer["StoreRevision"]))

    def list(self, prefix: str, may_be_old: bool = False) -> StoreListing:
        """Return every entry whose key starts with `prefix`.

        The pages are not one snapshot. The lowest of their revisions is returned, so
        that a watch from there misses no change.

        Parameters
        ----------
        may_be_old : bool
            Whether entries may be stale by some seconds. Such a read costs a tenth
            and is not rate limited.
        """
        entries: list[StoreEntry] = []
        revisions: list[int] = []
        options = {"Serializable": "1"} if may_be_old else {}
        query = {"PathPrefix": prefix, **options}
        while True:
            _, answer = self._call("GET", "/kv-range", query)
            with _reject_malformed("/kv-range"):
                revisions.append(int(answer["StoreRevision"]))
                entries.extend(read_entry(item) for item in answer["items"])
                if not answer.get("HasMore") or not answer["items"]:
                    return StoreListing(tuple(entries), min(revisions))
            query = {"PathPrefix": prefix, "after": entries[-1].key, **options}

    def swap(self, key: str, value: str, expected: int, lease: int = 0) -> SwapResult:
        """Set `key` to `value` if its version is `expected` (0: no such key).

        A lost reply is resolved by reading back, so `value` must be unique to its
        writer, for example by an operation id. A delayed write fails its condition
        once a later attempt has succeeded.

        Raises
        ------
        StoreUnavailableError
            When the effect is still unknown after reading back.
        LeaseGoneError
            When the store no longer knows `lease`.
        """
        write = {"PrivateKey": key, "Value": encode_value(value), "Lease": lease}
        for attempt in range(SWAP_ATTEMPTS):
            try:
                won, current = self._change(key, expected, [write], [])
                if won is not None:
                    return SwapResult(True, StoreEntry(key, value, won))
                return SwapResult(False, current)
            except StoreUnavailableError:
                if attempt == SWAP_ATTEMPTS - 1:
                    raise
                self.metrics.count_retry("store_reply_lost")
                current = self.get(key)
                if current is not None and current.value == value:
                    return SwapResult(True, current)
                if (current.version if current else 0) != expected:
                    return SwapResult(False, current)
        raise AssertionError("unreachable")

    def put(self, key: str, value: str, lease: int = 0) -> int:
        """Set `key` to `value`; return the revision. For keys with a single writer.

        Unconditional: one without an answer may be done after a later one.
        """
        write = {"PrivateKey": key, "Value": encode_value(value), "Lease": lease}
        revision, _ = self._commit([], [write], [], key)
        return revision or 0

    def delete(self, key: str, expected: int) -> SwapResult:
        """Remove `key` if its version is `expected`."""
        won, current = self._change(key, expected, [], [key])
        return SwapResult(won is not None, current)

    def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease of `seconds`."""
        _, answer = self._call("POST", "/kv-lease", body={"TtlMs": int(seconds * 1000)})
        return int(answer["Lease"])

    def renew_lease(self, lease: int) -> None:
        """Renew `lease`; raise `LeaseGoneError` when it has expired."""
        status, _ = self._call("POST", f"/kv-keep/{lease}", body={})
        if status == NOT_FOUND:
            raise LeaseGoneError(f"lease {lease} is gone")

    def revoke_lease(self, lease: int) -> None:
        """End `lease` and remove the keys attached to it."""
        self._call("DELETE", f"/kv-lease-end/{lease}")

    def watch(self, prefix: str, after: int) -> Iterator[StoreChange]:
        """Yield the changes under `prefix` that follow revision `after`.

        Raises
        ------
        HistoryGoneError
            When the store has compacted the changes; the reader must list again.
        """
        while True:
            changes, after = self.wait_changes(prefix, after)
            yield from changes

    def wait_changes(
        self, prefix: str, after: int, seconds: float = WATCH_WAIT_SECONDS
    ) -> tuple[list[StoreChange], int]:
        """Wait once for changes; return them and the revision to continue from."""
        query = {
            "PathPrefix": prefix,
            "after": str(after),
            "WaitMs": str(int(seconds * 1000)),
        }
        timeout = seconds + WATCH_GRACE_SECONDS
        status, answer = self._call("GET", "/kv-watch", query, timeout=timeout)
        if status == HISTORY_GONE:
            raise HistoryGoneError(f"changes since {after} are gone")
        with _reject_malformed("/kv-watch"):
            changes = [self._read_change(event) for event in answer["events"]]
            return changes, max(after, int(answer["StoreRevision"]))

    def _read_change(self, event: dict[str, Any]) -> StoreChange:
        revision = int(event["Revision"])
        if event.get("Tombstone"):
            return StoreChange(event["PrivateKey"], None, revision)
        return StoreChange(event["PrivateKey"], read_entry(event), revision)

    def _change(
        self,
        key: str,
        expected: int,
        writes: list[dict[str, Any]],
        removed: list[str],
    ) -> tuple[int | None, StoreEntry | None]:
        """Return the revision of the change, or None and the current entry."""
        rows = [{"PrivateKey": key, "Revision": expected}]
        return self._commit(rows, writes, removed, key)

    def _commit(
        self,
        expected: list[dict[str, Any]],
        writes: list[dict[str, Any]],
        removed: list[str],
        key: str,
    ) -> tuple[int | None, StoreEntry | None]:
        body = {"ExpectedRev": expected, "Writes": writes, "Remove": removed}
        status, answer = self._call("POST", "/kv-txn", body=body)
        if status == OK:
            return int(answer["Revision"]), None
        if status == NOT_FOUND:
            raise LeaseGoneError(f"the lease of {key} is gone")
        found = [item for item in answer["items"] if item.get("Revision")]
        return None, read_entry(found[0]) if found else None

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict[str, object] | None = None,
        timeout: float | None = None,
    ) -> tuple[int, dict[str, Any]]:
        self.metrics.count("store.calls")
        self.metrics.count(f"store.calls.{name_call(path)}")
        data = None if body is None else json.dumps(body).encode()
        target = f"{path}?{urlencode(query)}" if query else path
        try:
            response = self.pools.request(
                method,
                self.address,
                target,
                body=data,
                headers=JSON_HEADERS,
                timeout=urllib3.Timeout(
                    connect=self.timeout, read=timeout or self.timeout
                ),
            )
            received = response.data
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.metrics.count("store.failures")
            raise StoreUnavailableError(f"{path}: {error}") from error
        self.metrics.count_exchange("control", len(data or b""), len(received))
        if response.status not in (OK, NOT_FOUND, HISTORY_GONE, CONFLICT):
            self.metrics.count("store.failures")
            raise StoreUnavailableError(f"{path}: status {response.status}")
        try:
            return response.status, json.loads(received) if received else {}
        except ValueError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
