"""A stand-in for the platform's key-value service.

Its switches bring about trouble: ``POST /switch`` with ``down``, ``delay``,
``lose_replies`` (a number of writes that take effect without a reply, after which
their connection stays silent), ``rate`` (calls a second, 429 beyond), ``compact``,
``snapshot`` and ``restore``.
"""

from __future__ import annotations

import base64
import copy
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import eventlet
from eventlet.event import Event

from standins.serving import StandIn, reply

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response

MAX_VALUE_BYTES: Final = 1_048_576
MAX_KEY_BYTES: Final = 200
MAX_ENTRIES: Final = 32
MAX_WAIT_SECONDS: Final = 30.0
PAGE_ITEMS: Final = 500
MIN_LEASE_SECONDS: Final = 1.0
SILENCE_SECONDS: Final = 60.0
READ_ONLY_PREFIXES: Final = ("op/", "servers/")


class Store(StandIn):
    """Keys with revisions, leases and watches, all in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.changes: list[dict[str, Any]] = []
        self.compacted = 0
        self.changed = Event()
        self.calls: Counter[str] = Counter()
        self.down = False
        self.delay = 0.0
        self.lose_replies = 0
        self.rate: float | None = None
        self.recent: list[float] = []
        self.snapshot: tuple[Any, ...] | None = None
        self.add("GET", "/kv-key", self.on_key)
        self.add("GET", "/kv-range", self.on_range)
        self.add("GET", "/kv-watch", self.on_watch)
        self.add("POST", "/kv-txn", self.on_txn)
        self.add("POST", "/kv-lease", self.on_grant)
        self.add("POST", "/kv-keep/<int:lease>", self.on_renew)
        self.add("DELETE", "/kv-lease-end/<int:lease>", self.on_revoke)
        self.add("POST", "/switch", self.on_switch)
        self.add("POST", "/operator", self.on_operator)
        self.add("GET", "/calls", self.on_calls)

    def check(self, name: str) -> Response | None:
        """Count the call; answer for a store that is down, slow or busy."""
        self.calls[name] += 1
        if self.delay:
            eventlet.sleep(self.delay)
        if self.down:
            return reply({"Error": "unavailable"}, 503)
        if self.rate is not None:
            now = time.monotonic()
            self.recent = [at for at in self.recent if now - at < 1.0]
            if len(self.recent) >= self.rate:
                return reply({"Error": "too many calls"}, 429)
            self.recent.append(now)
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
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            self.revision += 1
            self.change(key, None)

    def change(self, key: str, item: dict[str, Any] | None) -> None:
        """Apply one change at the revision reached, and wake the watches."""
        if item is None:
            self.items.pop(key, None)
            event = {"PrivateKey": key, "Revision": self.revision, "Tombstone": True}
        else:
            known = self.items.get(key)
            item["Created"] = known["Created"] if known else self.revision
            item["Revision"] = self.revision
            self.items[key] = item
            event = dict(item)
        self.changes.append(event)
        waiting, self.changed = self.changed, Event()
        waiting.send(None)

    def on_key(self, request: Request) -> Response:
        """Answer the read of one key."""
        if refusal := self.check("key"):
            return refusal
        item = self.items.get(request.args["PrivateKey"])
        if item is None:
            return reply({"Error": "no such key"}, 404)
        return reply({**item, "StoreRevision": self.revision})

    def on_range(self, request: Request) -> Response:
        """Answer one page of a range."""
        if refusal := self.check("range"):
            return refusal
        prefix = request.args.get("PathPrefix", "")
        after = request.args.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return reply({"items": page, "HasMore": more, "StoreRevision": self.revision})

    def on_txn(self, request: Request) -> Response:
        """Answer a conditional change: all or nothing."""
        if refusal := self.check("txn"):
            return refusal
        body = request.get_json(force=True)
        writes, removed = body.get("Writes", []), body.get("Remove", [])
        keys = [write["PrivateKey"] for write in writes] + removed
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            return reply({"Error": "not for the system to write"}, 403)
        expected = body.get("ExpectedRev", [])
        if len(expected) + len(keys) > MAX_ENTRIES:
            return reply({"Error": "too many entries"}, 400)
        if any(self.version(row["PrivateKey"]) != row["Revision"] for row in expected):
            rows = (self.items.get(row["PrivateKey"]) for row in expected)
            return reply({"items": [item for item in rows if item]}, 412)
        for write in writes:
            if write.get("Lease") and write["Lease"] not in self.leases:
                return reply({"Error": "no such lease"}, 404)
            size = len(base64.b64decode(write["Value"]))
            if size > MAX_VALUE_BYTES or len(write["PrivateKey"]) > MAX_KEY_BYTES:
                return reply({"Error": "too large"}, 400)
        self.apply(writes, removed)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            eventlet.sleep(SILENCE_SECONDS)
        return reply({"Revision": self.revision})

    def version(self, key: str) -> int:
        """Return the revision of a key's last change, 0 when it is absent."""
        return self.items[key]["Revision"] if key in self.items else 0

    def apply(self, writes: list[dict[str, Any]], removed: list[str]) -> None:
        """Carry out one change at one revision."""
        self.revision += 1
        for write in writes:
            fields = ("PrivateKey", "Value")
            item = {name: write[name] for name in fields}
            self.change(item["PrivateKey"], {**item, "Lease": write.get("Lease", 0)})
        for key in removed:
            self.change(key, None)

    def on_grant(self, request: Request) -> Response:
        """Grant a lease."""
        if refusal := self.check("lease_grant"):
            return refusal
        seconds = request.get_json(force=True)["TtlMs"] / 1000
        seconds = max(MIN_LEASE_SECONDS, seconds)
        self.revision += 1
        self.leases[self.revision] = (time.monotonic() + seconds, seconds)
        return reply({"Lease": self.revision, "TtlMs": int(seconds * 1000)})

    def on_renew(self, request: Request, lease: int) -> Response:
        """Renew a lease."""
        if refusal := self.check("lease_renew"):
            return refusal
        if lease not in self.leases:
            return reply({"Error": "no such lease"}, 404)
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return reply({"TtlMs": int(seconds * 1000)})

    def on_revoke(self, request: Request, lease: int) -> Response:
        """End a lease."""
        if refusal := self.check("lease_revoke"):
            return refusal
        self.drop_lease(lease)
        return reply({})

    def on_watch(self, request: Request) -> Response:
        """Answer with the changes after a revision, as soon as there are any."""
        if refusal := self.check("watch"):
            return refusal
        prefix = request.args.get("PathPrefix", "")
        after = int(request.args["after"])
        seconds = min(MAX_WAIT_SECONDS, int(request.args["WaitMs"]) / 1000)
        deadline = time.monotonic() + seconds
        while not self.down:
            if after < self.compacted:
                return reply({"Error": "history is gone"}, 410)
            events = [
                event
                for event in self.changes
                if event["Revision"] > after and event["PrivateKey"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return reply({"events": events, "StoreRevision": self.revision})
            with eventlet.Timeout(min(left, 0.5), False):
                self.changed.wait()
            self.expire()
        return reply({"Error": "unavailable"}, 503)

    def on_operator(self, request: Request) -> Response:
        """Write a key as the platform's operator or a target does.

        ``raw`` stands in the store as it is, and may be no base64 at all.
        """
        body = request.get_json(force=True)
        value = body.get("raw")
        if value is None:
            value = base64.b64encode(body["value"].encode()).decode()
        if body.get("remove"):
            self.apply([], [body["key"]])
        else:
            self.apply([{"PrivateKey": body["key"], "Value": value}], [])
        return reply({"Revision": self.revision})

    def on_switch(self, request: Request) -> Response:
        """Bring about an outage, or end it."""
        body = request.get_json(force=True)
        self.down = body.get("down", self.down)
        self.delay = body.get("delay", self.delay)
        self.lose_replies = body.get("lose_replies", self.lose_replies)
        self.rate = body.get("rate", self.rate)
        if body.get("compact"):
            self.changes = []
            self.compacted = self.revision
        if body.get("snapshot"):
            self.snapshot = copy.deepcopy((self.items, self.revision))
        if body.get("restore") and self.snapshot:
            self.items, self.revision = copy.deepcopy(self.snapshot)
            self.changes = []
            self.leases = {}
        if body.get("expire_leases"):
            for lease in list(self.leases):
                self.drop_lease(lease)
        return reply({})

    def on_calls(self, request: Request) -> Response:
        """Return the calls counted so far, by kind."""
        return reply(dict(self.calls))
