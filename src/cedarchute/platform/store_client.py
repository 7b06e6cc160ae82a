"""A client of the platform's key-value service.

It speaks the JSON form of the etcd v3 API: range, txn, lease and watch. Each
value that Cedarchute writes carries an operation id, so a swap whose reply was
lost is settled by reading back.
"""

from __future__ import annotations

import base64
import json
import logging
from typing import TYPE_CHECKING, Any, Final

import urllib3

from cedarchute.host_pools import HostPools
from cedarchute.platform.store_entry import (
    StoreChange,
    StoreEntry,
    StoreListing,
    SwapResult,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.store")

SWAP_ATTEMPTS: Final = 3
CONNECTIONS: Final = 8
JSON_HEADERS: Final = {"content-type": "application/json"}
WATCH_SILENCE_SECONDS: Final = 30.0


class StoreUnavailableError(Exception):
    """The store gave no usable answer; nothing is known about the effect."""

    code = "store_unavailable"


class LeaseGoneError(Exception):
    """The store no longer knows the lease."""

    code = "lease_gone"


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _prefix_end(prefix: str) -> str:
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes([raw[-1] + 1])).decode()


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
        answer = self._call("/v3/kv/range", {"key": _encode(key)})
        entries = self._entries(answer.get("kvs", []))
        return entries[0] if entries else None

    def list(self, prefix: str) -> StoreListing:
        """Return every entry whose key starts with `prefix`."""
        body = {"key": _encode(prefix), "range_end": _prefix_end(prefix)}
        answer = self._call("/v3/kv/range", body)
        entries = tuple(self._entries(answer.get("kvs", [])))
        return StoreListing(entries, int(answer["header"]["revision"]))

    def swap(self, key: str, value: str, expected: int, lease: int = 0) -> SwapResult:
        """Set `key` to `value` if its version is `expected` (0: no such key).

        A lost reply is settled by reading back: `value` must hold something
        that no other writer writes, such as an operation id.

        Raises
        ------
        StoreUnavailableError
            When the effect is still unknown after reading back.
        """
        put = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
        for attempt in range(SWAP_ATTEMPTS):
            try:
                return self._compare(key, expected, {"request_put": put})
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

    def delete(self, key: str, expected: int) -> SwapResult:
        """Remove `key` if its version is `expected`."""
        body = {"request_delete_range": {"key": _encode(key)}}
        return self._compare(key, expected, body)

    def grant_lease(self, seconds: float) -> int:
        """Return the id of a new lease of whole `seconds`."""
        answer = self._call("/v3/lease/grant", {"TTL": str(max(1, round(seconds)))})
        return int(answer["ID"])

    def renew_lease(self, lease: int) -> None:
        """Renew `lease`; raise `LeaseGoneError` when the store forgot it."""
        answer = self._call("/v3/lease/keepalive", {"ID": str(lease)})
        if int(answer.get("result", {}).get("TTL", 0)) <= 0:
            raise LeaseGoneError(f"lease {lease} is gone")

    def revoke_lease(self, lease: int) -> None:
        """End `lease` and remove the keys attached to it."""
        self._call("/v3/lease/revoke", {"ID": str(lease)})

    def watch(self, prefix: str, after: int) -> Iterator[StoreChange]:
        """Yield the changes under `prefix` that follow revision `after`.

        The stream ends when the store stays silent for long or goes away; the
        reader then lists again.
        """
        create = {
            "key": _encode(prefix),
            "range_end": _prefix_end(prefix),
            "start_revision": str(after + 1),
        }
        timeout = urllib3.Timeout(connect=self.timeout, read=WATCH_SILENCE_SECONDS)
        response = None
        self.metrics.count("store.calls")
        try:
            response = self.pools.request(
                "POST",
                self.address,
                "/v3/watch",
                body=json.dumps({"create_request": create}).encode(),
                headers=JSON_HEADERS,
                preload_content=False,
                timeout=timeout,
            )
            buffer = b""
            while chunk := response.read1():
                buffer += chunk
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    yield from self._changes(json.loads(line))
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            raise StoreUnavailableError(f"watch ended: {error}") from error
        finally:
            if response is not None:
                response.close()

    def _changes(self, message: dict[str, Any]) -> Iterator[StoreChange]:
        result = message.get("result", {})
        revision = int(result["header"]["revision"])
        for event in result.get("events", []):
            key = _decode(event["kv"]["key"])
            if event.get("type") == "DELETE":
                yield StoreChange(key, None, revision)
            else:
                yield StoreChange(key, self._entries([event["kv"]])[0], revision)

    def _compare(
        self, key: str, expected: int, success: dict[str, object]
    ) -> SwapResult:
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        read = {"request_range": {"key": _encode(key)}}
        body = {"compare": [compare], "success": [success, read], "failure": [read]}
        answer = self._call("/v3/kv/txn", body)
        found = answer["responses"][-1]["response_range"].get("kvs", [])
        entries = self._entries(found)
        current = entries[0] if entries else None
        return SwapResult(bool(answer.get("succeeded")), current)

    def _entries(self, found: list[dict[str, str]]) -> list[StoreEntry]:
        return [
            StoreEntry(
                _decode(kv["key"]), _decode(kv["value"]), int(kv["mod_revision"])
            )
            for kv in found
        ]

    def _call(self, path: str, body: dict[str, object]) -> dict[str, Any]:
        self.metrics.count("store.calls")
        data = json.dumps(body).encode()
        try:
            response = self.pools.request(
                "POST",
                self.address,
                path,
                body=data,
                headers=JSON_HEADERS,
                timeout=self.timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.metrics.count("store.failures")
            raise StoreUnavailableError(f"{path}: {error}") from error
        self.metrics.count_exchange("control", len(data), len(response.data))
        if response.status != 200:
            self.metrics.count("store.failures")
            raise StoreUnavailableError(f"{path}: status {response.status}")
        return response.json()
