"""A stand-in for the platform's key-value service (JSON form of etcd v3).

Its switches bring about outages: ``POST /switch`` with ``down``, ``delay``,
``lose_replies`` (a number of writes that take effect without a reply),
``snapshot`` and ``restore``.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
import base64
import copy
import json
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

from eventlet.event import Event

from standins.serving import StandIn, reply, stream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from werkzeug.wrappers import Request, Response

MAX_VALUE_BYTES: Final = 1_000_000


class Store(StandIn):
    """Keys with versions, leases and watches, all in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.kvs: dict[bytes, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.changes: list[tuple[int, bytes, dict[str, Any] | None]] = []
        self.changed = Event()
        self.calls: Counter[str] = Counter()
        self.down = False
        self.delay = 0.0
        self.lose_replies = 0
        self.snapshot: tuple[Any, ...] | None = None
        self.add("POST", "/v3/kv/range", self.on_range)
        self.add("POST", "/v3/kv/txn", self.on_txn)
        self.add("POST", "/v3/lease/grant", self.on_grant)
        self.add("POST", "/v3/lease/keepalive", self.on_keepalive)
        self.add("POST", "/v3/lease/revoke", self.on_revoke)
        self.add("POST", "/v3/watch", self.on_watch)
        self.add("POST", "/switch", self.on_switch)
        self.add("GET", "/calls", self.on_calls)

    def check(self, name: str) -> Response | None:
        """Count the call; answer for a store that is down or slow."""
        self.calls[name] += 1
        if self.delay:
            eventlet.sleep(self.delay)
        if self.down:
            return reply({"error": "unavailable", "code": 14}, 503)
        self.expire()
        return None

    def expire(self) -> None:
        """Remove the keys of leases that ran out."""
        now = time.monotonic()
        for lease, (deadline, _) in list(self.leases.items()):
            if deadline < now:
                self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        """Forget `lease` and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, kv in self.kvs.items() if kv["lease"] == lease]:
            self.change(key, None)

    def change(self, key: bytes, kv: dict[str, Any] | None) -> None:
        """Apply one change and wake the watches."""
        self.revision += 1
        if kv is None:
            self.kvs.pop(key, None)
        else:
            kv["mod_revision"] = self.revision
            self.kvs[key] = kv
        self.changes.append((self.revision, key, kv))
        event, self.changed = self.changed, Event()
        event.send(None)

    def header(self) -> dict[str, str]:
        """Return the header of an answer."""
        return {"revision": str(self.revision)}

    def wire(self, key: bytes, kv: dict[str, Any]) -> dict[str, str]:
        """Return one entry in the form of the wire."""
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(kv["value"]).decode(),
            "mod_revision": str(kv["mod_revision"]),
            "lease": str(kv["lease"]),
        }

    def range(self, body: dict[str, str]) -> dict[str, Any]:
        """Return the entries of one range request."""
        first = base64.b64decode(body["key"])
        if "range_end" not in body:
            kv = self.kvs.get(first)
            found = [self.wire(first, kv)] if kv else []
        else:
            end = base64.b64decode(body["range_end"])
            keys = sorted(k for k in self.kvs if first <= k < end)
            found = [self.wire(k, self.kvs[k]) for k in keys]
        return {"header": self.header(), "kvs": found, "count": str(len(found))}

    def on_range(self, request: Request) -> Response:
        """Answer a read."""
        return self.check("range") or reply(self.range(request.get_json(force=True)))

    def on_txn(self, request: Request) -> Response:
        """Answer a compare-and-swap."""
        refusal = self.check("txn")
        if refusal:
            return refusal
        body = request.get_json(force=True)
        succeeded = True
        for compare in body["compare"]:
            kv = self.kvs.get(base64.b64decode(compare["key"]))
            version = kv["mod_revision"] if kv else 0
            succeeded = succeeded and version == int(compare["mod_revision"])
        responses = []
        for operation in body["success"] if succeeded else body["failure"]:
            if "request_put" in operation:
                put = operation["request_put"]
                value = base64.b64decode(put["value"])
                lease = int(put.get("lease", 0))
                if len(value) > MAX_VALUE_BYTES or (lease and lease not in self.leases):
                    return reply({"error": "refused", "code": 3}, 400)
                key = base64.b64decode(put["key"])
                self.change(key, {"value": value, "lease": lease})
                responses.append({"response_put": {}})
            elif "request_delete_range" in operation:
                key = base64.b64decode(operation["request_delete_range"]["key"])
                self.change(key, None)
                responses.append({"response_delete_range": {}})
            else:
                found = self.range(operation["request_range"])
                responses.append({"response_range": found})
        if succeeded and self.lose_replies > 0:
            self.lose_replies -= 1
            return reply({"error": "reply lost after the effect"}, 504)
        answer = {"header": self.header(), "succeeded": succeeded}
        return reply({**answer, "responses": responses})

    def on_grant(self, request: Request) -> Response:
        """Grant a lease."""
        refusal = self.check("lease_grant")
        if refusal:
            return refusal
        seconds = float(request.get_json(force=True)["TTL"])
        self.revision += 1
        lease = self.revision
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return reply({"ID": str(lease), "TTL": str(int(seconds))})

    def on_keepalive(self, request: Request) -> Response:
        """Renew a lease."""
        refusal = self.check("lease_renew")
        if refusal:
            return refusal
        lease = int(request.get_json(force=True)["ID"])
        if lease not in self.leases:
            return reply({"result": {"ID": str(lease), "TTL": "0"}})
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return reply({"result": {"ID": str(lease), "TTL": str(int(seconds))}})

    def on_revoke(self, request: Request) -> Response:
        """End a lease."""
        refusal = self.check("lease_revoke")
        if refusal:
            return refusal
        self.drop_lease(int(request.get_json(force=True)["ID"]))
        return reply({"header": self.header()})

    def on_watch(self, request: Request) -> Response:
        """Open a watch."""
        refusal = self.check("watch")
        if refusal:
            return refusal
        create = request.get_json(force=True)["create_request"]
        return stream(self.watch(create), "application/json")

    def watch(self, create: dict[str, str]) -> Iterator[bytes]:
        """Yield one JSON line for each change in the range."""
        first = base64.b64decode(create["key"])
        end = base64.b64decode(create["range_end"])
        after = int(create["start_revision"]) - 1
        yield b'{"result":{"header":{"revision":"%d"},"created":true}}\n' % after
        while not self.down:
            for revision, key, kv in [c for c in self.changes if c[0] > after]:
                after = revision
                if not first <= key < end:
                    continue
                event: dict[str, Any] = {"kv": {"key": base64.b64encode(key).decode()}}
                if kv is None:
                    event["type"] = "DELETE"
                else:
                    event["kv"] = self.wire(key, kv)
                result = {"header": {"revision": str(revision)}, "events": [event]}
                yield json.dumps({"result": result}).encode() + b"\n"
            with eventlet.Timeout(0.5, False):
                self.changed.wait()
            self.expire()

    def on_switch(self, request: Request) -> Response:
        """Bring about an outage, or end it."""
        body = request.get_json(force=True)
        self.down = body.get("down", self.down)
        self.delay = body.get("delay", self.delay)
        self.lose_replies = body.get("lose_replies", self.lose_replies)
        if body.get("snapshot"):
            self.snapshot = copy.deepcopy((self.kvs, self.revision))
        if body.get("restore") and self.snapshot:
            self.kvs, self.revision = copy.deepcopy(self.snapshot)
            self.changes = []
            self.leases = {}
        if body.get("expire_leases"):
            for lease in list(self.leases):
                self.drop_lease(lease)
        return reply({})

    def on_calls(self, request: Request) -> Response:
        """Return the calls counted so far, by kind."""
        return reply(dict(self.calls))


def main() -> None:
    """Serve the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    Store().serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
