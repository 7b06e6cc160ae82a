"""Entry boxes and a store in virtual time, joined by links that can go silent."""

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
# One way between any two machines.
WAY_SECONDS = 0.002
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


class Arrivals:
    """A follower that notes when each value came; values are whole numbers."""

    def __init__(self):
        self.times = {}

    def put(self, key, value):
        self.times.setdefault(json.loads(value), time.monotonic())

    def remove(self, key):
        raise AssertionError("nothing is removed")

    def note_store_back(self):
        pass


class Box:
    """The parts of a real entry box that follow the store."""

    def __init__(self, name, domain, ip):
        text = SETTINGS.format(name=name, domain=domain, ip=ip)
        settings = parse_node_settings(text, f"{name}.ini")
        me = BoxEntry(name, Role.ENTRY, domain, "r", f"{ip}:3", f"{ip}:2")
        metrics = Metrics()
        self.name = name
        self.domain = domain
        self.address = f"{ip}:2"
        self.arrivals = Arrivals()
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
    """Stands in for the connections of one client; its answers may be lost."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.owner = fleet.building

    def request(self, method, address, path, *, body=None, headers=None, timeout):
        until = time.monotonic() + timeout.read_timeout
        eventlet.sleep(WAY_SECONDS)
        silences = self.fleet.count_silences(self.owner)
        answer = None
        if not self.fleet.is_cut(self.owner, str(address)):
            with eventlet.Timeout(until - time.monotonic(), False):
                answer = self.fleet.serve(self.owner, method, str(address), path, body)
                eventlet.sleep(WAY_SECONDS)
        if (
            answer is None
            or self.fleet.is_cut(self.owner, str(address))
            or silences != self.fleet.count_silences(self.owner)
        ):
            eventlet.sleep(max(0.0, until - time.monotonic()))
            raise urllib3.exceptions.TimeoutError("silent")
        return answer


class VirtualFleet:
    """Boxes of some failure domains, started together."""

    def __init__(self, patch, domains):
        for module in (store_client, state_client):
            patch.setattr(module, "HostPools", lambda *_, **__: Link(self))
        self.store = Store()
        self.building = ""
        self.cuts = set()
        self.turned_away = set()
        self.silences = {}
        self.version = 0
        self.boxes = {}
        for domain, count in domains.items():
            for number in range(count):
                self.add(f"{domain}-{number:03}", domain)
        self.by_address = {box.address: box for box in self.boxes.values()}

    def add(self, name, domain):
        number = len(self.boxes)
        self.building = name
        ip = f"10.1.{number // 250}.{number % 250 + 1}"
        self.boxes[name] = Box(name, domain, ip)

    def start(self):
        for box in self.boxes.values():
            box.parts.start()

    def change(self, key=CONFIGURATION):
        """Put the next value in the store; return it."""
        self.version += 1
        body = {"key": key, "value": json.dumps(self.version)}
        self.ask_store("POST", "/operator", json.dumps(body).encode())
        return self.version

    def cut(self, name, address=STORE):
        """Let a box and another address hear nothing of each other."""
        self.cuts.add((name, address))

    def silence(self, name):
        """Lose the answers to what a box has asked; what it asks anew works."""
        self.silences[name] = self.count_silences(name) + 1

    def turn_away(self, name):
        """Let the store refuse a box, and its open watch say nothing."""
        self.silence(name)
        self.turned_away.add(name)

    def stop_power(self, name):
        """Let a box say nothing to anybody any more."""
        self.cut(name)
        for box in self.boxes.values():
            self.cut(name, box.address)
            self.cut(box.name, self.boxes[name].address)

    def is_cut(self, owner, address):
        return (owner, address) in self.cuts

    def count_silences(self, owner):
        return self.silences.get(owner, 0)

    def serve(self, owner, method, address, path, body):
        if address != STORE:
            return self.ask_box(self.by_address[address], body)
        if owner in self.turned_away:
            return SimpleNamespace(status=503, data=b"")
        return self.ask_store(method, path, body)

    def ask_store(self, method, path, body=None):
        builder = EnvironBuilder(path, method=method, data=body)
        return call_app(self.store, builder.get_environ())

    def ask_box(self, box, body):
        environ = {"PATH_INFO": "/fleet/state", "wsgi.input": io.BytesIO(body)}
        return call_app(box.server, environ)

    def find_ignorant(self, value):
        """Return the boxes that a value has not come to."""
        boxes = self.boxes.values()
        return {box.name for box in boxes if value not in box.arrivals.times}


def call_app(app, environ):
    """Call a WSGI application; return its status and body."""
    statuses = []
    parts = app(environ, lambda status, fields: statuses.append(status))
    return SimpleNamespace(status=int(statuses[0][:3]), data=b"".join(parts))


@contextmanager
def count_calls(fleet):
    """Yield a mapping that holds the calls to the store once the block is over."""
    before = dict(fleet.store.calls)
    counted = {}
    yield counted
    for name, total in fleet.store.calls.items():
        counted[name] = total - before.get(name, 0)
