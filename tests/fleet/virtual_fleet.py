"""Entry boxes and a store in virtual time, connected by links that can fail."""

from __future__ import annotations

import io
import json
import time
from contextlib import contextmanager
from types import SimpleNamespace

import eventlet
import urllib3
from werkzeug.test import EnvironBuilder

from cedarchute.daemon.node_parts import NodeParts
from cedarchute.fleet import state_client
from cedarchute.fleet.box_directory import BoxDirectory
from cedarchute.fleet.box_entry import BoxEntry, Role
from cedarchute.fleet.peer_server import PeerServer
from cedarchute.fleet.turned_away import TurnedAway
from cedarchute.metrics import Metrics
from cedarchute.platform import store_client
from cedarchute.platform.keys import CONFIGURATION, TARGETS
from cedarchute.settings.node_settings import parse_node_settings
from cedarchute.supervisor import Supervisor
from standins.key_value_store import Store

STORE = "10.0.0.1:1"
# One-way network latency between any two machines.
LATENCY_SECONDS = 0.002
SETTINGS = """
[box]
role = entry
name = {name}
failure_domain = {domain}
region = r
ip = {ip}
peer_port = 2
[platform]
store = 10.0.0.1:1
[listen]
callers = {ip}:3
"""


class ArrivalRecorder:
    """Follower that records the arrival time of each value, an integer."""

    def __init__(self):
        self.times = {}

    def put(self, key, value):
        self.times.setdefault(json.loads(value), time.monotonic())

    def remove(self, key):
        raise AssertionError("nothing is removed")

    def note_store_back(self):
        pass


class Box:
    """Entry box reduced to the components that follow the store."""

    def __init__(self, name, domain, ip):
        text = SETTINGS.format(name=name, domain=domain, ip=ip)
        settings = parse_node_settings(text, f"{name}.ini")
        me = BoxEntry(name, Role.ENTRY, domain, "r", f"{ip}:3", f"{ip}:2")
        metrics = Metrics()
        self.name = name
        self.domain = domain
        self.address = f"{ip}:2"
        self.arrivals = ArrivalRecorder()
        self.parts = NodeParts(
            settings,
            me,
            BoxDirectory(),
            {CONFIGURATION: self.arrivals, TARGETS: self.arrivals},
            TurnedAway(metrics),
            Supervisor(metrics),
            metrics,
        )
        self.server = PeerServer(self.parts.mirror, metrics)


class Link:
    """Fake connection pool of one client; responses may be lost."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.owner = fleet.current_owner

    def request(self, method, address, path, *, body=None, headers=None, timeout):
        deadline = time.monotonic() + timeout.read_timeout
        eventlet.sleep(LATENCY_SECONDS)
        drops = self.fleet.count_drops(self.owner)
        answer = None
        if not self.fleet.is_cut(self.owner, str(address)):
            with eventlet.Timeout(deadline - time.monotonic(), False):
                answer = self.fleet.serve(self.owner, method, str(address), path, body)
                eventlet.sleep(LATENCY_SECONDS)
        if (
            answer is None
            or self.fleet.is_cut(self.owner, str(address))
            or drops != self.fleet.count_drops(self.owner)
        ):
            eventlet.sleep(max(0.0, deadline - time.monotonic()))
            raise urllib3.exceptions.TimeoutError("silent")
        return answer


class VirtualFleet:
    """Boxes of several failure domains that start together."""

    def __init__(self, patch, domains):
        for module in (store_client, state_client):
            patch.setattr(module, "HostPools", lambda *_, **__: Link(self))
        self.store = Store()
        self.current_owner = ""
        self.cuts = set()
        self.rejected = set()
        self.drops = {}
        self.version = 0
        self.boxes = {}
        for domain, count in domains.items():
            for number in range(count):
                self.add(f"{domain}-{number:03}", domain)
        self.by_address = {box.address: box for box in self.boxes.values()}

    def add(self, name, domain):
        number = len(self.boxes)
        self.current_owner = name
        ip = f"10.1.{number // 250}.{number % 250 + 1}"
        self.boxes[name] = Box(name, domain, ip)

    def start(self):
        for box in self.boxes.values():
            box.parts.start()

    def change(self, key=CONFIGURATION):
        """Write the next value to the store; return it."""
        self.version += 1
        body = {"key": key, "value": json.dumps(self.version)}
        self.ask_store("POST", "/operator", json.dumps(body).encode())
        return self.version

    def cut(self, name, address=STORE):
        """Drop all traffic between a box and an address."""
        self.cuts.add((name, address))

    def drop_pending(self, name):
        """Drop the responses to pending requests of a box; later requests work."""
        self.drops[name] = self.count_drops(name) + 1

    def reject(self, name):
        """Let the store reject a box; its open watch hangs."""
        self.drop_pending(name)
        self.rejected.add(name)

    def isolate(self, name):
        """Drop all traffic of a box."""
        self.cut(name)
        for box in self.boxes.values():
            self.cut(name, box.address)
            self.cut(box.name, self.boxes[name].address)

    def is_cut(self, owner, address):
        return (owner, address) in self.cuts

    def count_drops(self, owner):
        return self.drops.get(owner, 0)

    def serve(self, owner, method, address, path, body):
        if address != STORE:
            return self.ask_box(self.by_address[address], body)
        if owner in self.rejected:
            return SimpleNamespace(status=503, data=b"")
        return self.ask_store(method, path, body)

    def ask_store(self, method, path, body=None):
        builder = EnvironBuilder(path, method=method, data=body)
        return call_app(self.store, builder.get_environ())

    def ask_box(self, box, body):
        environ = {"PATH_INFO": "/fleet/state", "wsgi.input": io.BytesIO(body)}
        return call_app(box.server, environ)

    def find_uninformed(self, value):
        """Return the names of boxes that have not received a value."""
        boxes = self.boxes.values()
        return {box.name for box in boxes if value not in box.arrivals.times}


def call_app(app, environ):
    """Call a WSGI application; return its status and body."""
    statuses = []
    parts = app(environ, lambda status, fields: statuses.append(status))
    return SimpleNamespace(status=int(statuses[0][:3]), data=b"".join(parts))


@contextmanager
def count_calls(fleet):
    """Yield a mapping that is filled with the store calls made in the block."""
    before = dict(fleet.store.calls)
    counted = {}
    yield counted
    for name, total in fleet.store.calls.items():
        counted[name] = total - before.get(name, 0)
