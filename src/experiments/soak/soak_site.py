"""A site of real processes with links around it that can be harmed."""

from __future__ import annotations

import shutil
import time
from typing import TYPE_CHECKING, Any, Final

from cedarchute.decisions.quota_share import QuotaTolerance
from experiments.node_site import SLOTS, NodeSite
from experiments.soak.back_end import MODEL, PLAIN, SHARES, SOUND_SHARES, BackEnd
from experiments.soak.link import Link
from experiments.soak.records import Records
from experiments.soak.shape import Shape
from experiments.soak.workspaces import (
    OVERRUN,
    REVOKE_SECONDS,
    SLACK,
    WINDOW_SECONDS,
    list_workspaces,
)
from experiments.waiting import wait_until

if TYPE_CHECKING:
    import random
    from pathlib import Path

HOST_NAME: Final = "site.example"
DOMAINS: Final = "abc"
THREE: Final = Shape()
ENTRIES: Final = 3
BACK_ENDS: Final = 3
TURN_PLACES: Final = BACK_ENDS * SLOTS
# The line of a box's log that says that it takes signals.
STARTED: Final = '"message": "Started."'
# Callers of the directory try another entry after this.
ASK_SECONDS: Final = 1.0


def make_route(prefix: str, kind: str, service: str, **more: object) -> dict[str, Any]:
    """Return a route as operators write it."""
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 3000,
        "SloMs": 300,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        **more,
    }


ROUTES: Final = [
    make_route("/once/", "non_idempotent", PLAIN),
    make_route("/again/", "idempotent", PLAIN),
    make_route("/turn/", "streaming", MODEL, Retained=True, RetentionS=600.0),
]


class SoakSite:
    """Three entries, three holders, the store and six back ends.

    Links stand before the store, one for each box, before each back end and before
    each entry's callers. Those between our own boxes have none: there, silence is a
    paused process, and a reset one that was killed.

    Attributes
    ----------
    is_direct : bool
        Whether callers reach the entries without a link between, which would take
        connections for an entry that refuses them; all back ends then answer well.
    """

    def __init__(
        self, folder: Path, seed: int, is_direct: bool = False, shape: Shape = THREE
    ) -> None:
        self.records = Records()
        tolerance = QuotaTolerance(WINDOW_SECONDS, OVERRUN, SLACK)
        revoke_ms = int(REVOKE_SECONDS * 1000)
        self.shape = shape
        self.nodes = NodeSite(folder, shape.losses, revoke_ms, tolerance)
        self.seed = seed
        self.is_direct = is_direct
        self.store_links: dict[str, Link] = {}
        self.target_links: dict[str, Link] = {}
        self.caller_links: dict[str, Link] = {}
        self.back_ends: list[BackEnd] = []
        self.entries = [f"entry-{n}" for n in range(ENTRIES)]
        self.holders = [f"holder-{n}" for n in range(shape.seats)]
        self.domains: dict[str, str] = {}
        self.marks = 0

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.nodes.start_store()
        holders, entries = self.holders, self.entries
        self.holders, self.entries = [], []
        for name, domain in zip(holders, self.shape.domains, strict=True):
            self.add_holder(name, domain)
        for name, domain in zip(entries, DOMAINS, strict=True):
            self.add_entry(name, domain)
        for service in (PLAIN, MODEL):
            for number in range(BACK_ENDS):
                self.add_back_end(f"{service}-{number}", service)
        workspaces = list_workspaces(self.records.passing.newest)
        self.nodes.configure(ROUTES, workspaces)
        self.nodes.wait_ready()
        self.nodes.wait_held(len(self.holders))
        for number in range(self.shape.spares):
            self.add_holder(f"spare-{number}", self.shape.domains[number])

    def add_holder(self, name: str, domain: str) -> None:
        """Start a holder."""
        self.domains[name] = domain
        self.store_links[name] = Link(self.nodes.store)
        self.nodes.start_holder(name, domain, self.store_links[name].address)
        self.holders.append(name)

    def add_entry(self, name: str, domain: str) -> None:
        """Start an entry."""
        self.domains[name] = domain
        self.store_links[name] = Link(self.nodes.store)
        self.nodes.start_entry(name, domain, self.store_links[name].address)
        self.caller_links[name] = Link(self.nodes.callers[name])
        self.records.entry_names[self.nodes.callers[name]] = name
        self.records.entry_names[self.caller_links[name].address] = name
        self.entries.append(name)

    def remove(self, name: str) -> None:
        """Forget a box that has left for good."""
        names = self.entries if name in self.entries else self.holders
        names.remove(name)

    def add_back_end(self, name: str, service: str) -> None:
        """Start a back end behind a link and register it."""
        shares = SOUND_SHARES if self.is_direct else SHARES
        back_end = BackEnd(name, service, self.seed, self.records, shares)
        self.back_ends.append(back_end)
        link = Link(back_end.target.address)
        self.target_links[name] = link
        self.nodes.add_target(name, service, link.address)

    def stop(self) -> None:
        """End every process that this site started."""
        self.nodes.stop()
        links = (self.store_links, self.target_links, self.caller_links)
        for link in [link for table in links for link in table.values()]:
            link.close()
        for back_end in self.back_ends:
            back_end.target.close()

    def ask_entry(self, chance: random.Random) -> list[str]:
        """Return the addresses that one entry names; none if it is silent."""
        name = chance.choice(self.entries)
        path = f"/resolve?Name={HOST_NAME}&Region=region&Zone={chance.choice(DOMAINS)}"
        address = self.nodes.directory[name]
        try:
            reply = self.nodes.http.request("GET", address, path, timeout=ASK_SECONDS)
        except Exception:  # Down or paused: the caller asks another.
            return []
        if reply.status != 200:
            return []
        if self.is_direct:
            return list(reply.document["Addresses"])
        links = {
            self.nodes.callers[entry]: link.address
            for entry, link in self.caller_links.items()
        }
        return [links[found] for found in reply.document["Addresses"]]

    def configure(self) -> None:
        """Write a configuration with another mark, and another key that passes."""
        self.marks += 1
        passing = self.records.passing
        gone = passing.newest
        passing.count += 1
        workspaces = list_workspaces(passing.newest)
        mark = make_route(self.mark, "idempotent", PLAIN)
        self.nodes.configure([*ROUTES, mark], workspaces)
        passing.note_gone(gone, time.monotonic())

    @property
    def mark(self) -> str:
        """The route that only the newest configuration has."""
        return f"/mark-{self.marks}/"

    def wipe(self, holder: str) -> None:
        """Empty the disk of a holder that is not running."""
        folder = self.nodes.folder / f"{holder}-data"
        shutil.rmtree(folder)
        folder.mkdir()

    def restart(self, name: str) -> None:
        """Start a box again if it is not running."""
        process = self.nodes.processes[name]
        if not process.is_running:
            self.records.contact.note_start(name)
            process.start()

    def wait_whole(self, seconds: float) -> None:
        """Wait until every entry takes callers and every holder has its seat."""
        for name in self.entries:
            address = self.nodes.ready[name]
            wait_until(
                lambda a=address: self.nodes.answers(a, "/readyz"),
                f"{name} is ready again",
                seconds,
            )
        self.nodes.wait_held(min(self.shape.seats, len(self.holders)))
