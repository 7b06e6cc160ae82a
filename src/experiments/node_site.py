"""Entry boxes, holders and the stand-in of the platform's store, on one machine."""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any, Final

from cedarchute.decisions.quota_share import QuotaTolerance
from experiments.http_json import HttpJson
from experiments.ports import HOST, HeldPorts
from experiments.process import Process
from experiments.waiting import wait_until

# Started as deployments start it: the variable names the settings, by which an entry
# listens for callers before the rest of it is imported.
PROGRAM: Final = Path(__file__).parents[2] / "deploy" / "cedarchuted.py"
DAEMON: Final = [str(PROGRAM), "--log_format", "json"]
SETTINGS_VARIABLE: Final = "CEDARCHUTE_SETTINGS"
# Places of a target.
SLOTS: Final = 8


class NodeSite:
    """Starts the real programs as processes, each by its own settings file."""

    def __init__(
        self,
        folder: Path,
        losses: int = 1,
        revoke_ms: int = 0,
        tolerance: QuotaTolerance | None = None,
    ) -> None:
        self.tolerance = tolerance or QuotaTolerance()
        self.folder = folder
        self.revoke_ms = revoke_ms
        self.losses = losses
        self.http = HttpJson()
        self.processes: dict[str, Process] = {}
        self.callers: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.directory: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.store = ""
        self.version = 0
        self.ports = HeldPorts()
        self.is_stopped = False
        # Connections that a target of any service accepts.
        self.max_connections = 100
        # Further lines of the section `[box]` of any box.
        self.box_settings: list[str] = []
        # Further lines of the settings of entry boxes.
        self.entry_settings: list[str] = []
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> NodeSite:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """End every process that this site started, also one being started."""
        self.is_stopped = True
        for process in list(self.processes.values()):
            process.close()
        self.http.pool.clear()
        self.ports.release()

    def start_store(self) -> None:
        """Start the stand-in of the platform's store."""
        port = self.ports.take()
        self.store = f"{HOST}:{port}"
        self.add("store", ["-m", "standins.store", "--port", str(port)])
        wait_until(lambda: self.answers(self.store, "/calls"), "the store answers")

    def add(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> Process:
        """Start one process."""
        process = Process(name, arguments, self.folder, environment)
        self.processes[name] = process
        if self.is_stopped:
            process.close()
        process.start()
        return process

    def answers(self, address: str, path: str) -> bool:
        """Tell whether a process answers at `path` with 200."""
        try:
            return self.http.request("GET", address, path, timeout=1.0).status == 200
        except Exception:  # Not there yet: the caller asks again.
            return False

    def start_holder(self, name: str, domain: str, store: str = "") -> None:
        """Start a holder with a data folder of its own."""
        data = self.folder / f"{name}-data"
        data.mkdir(exist_ok=True)
        self.start_box(name, domain, "holder", f"data_folder = {data}", store)

    def start_entry(self, name: str, domain: str, store: str = "") -> None:
        """Start an entry box."""
        for table in (self.callers, self.ready, self.directory):
            table[name] = f"{HOST}:{self.ports.take()}"
        self.start_box(name, domain, "entry", "", store)

    def start_box(
        self, name: str, domain: str, role: str, more: str, store: str = ""
    ) -> None:
        """Write the settings of a box and start it."""
        port = self.ports.take()
        self.peers[name] = f"{HOST}:{port}"
        seeds = ",".join(self.peers[n] for n in self.callers if n in self.peers)
        lines = [
            "[box]",
            f"role = {role}",
            f"name = {name}",
            f"failure_domain = {domain}",
            "region = region",
            f"ip = {HOST}",
            f"peer_port = {port}",
            more,
            *self.box_settings,
            "[platform]",
            f"store = {store or self.store}",
            f"seeds = {seeds}",
            "[losses]",
            f"holders = {self.losses}",
            "[quotas]",
            f"window_seconds = {self.tolerance.window_seconds}",
            f"overrun = {self.tolerance.overrun}",
            f"slack = {self.tolerance.slack}",
        ]
        if role == "entry":
            lines += [
                "[listen]",
                f"callers = {self.callers[name]}",
                f"ready = {self.ready[name]}",
                f"directory = {self.directory[name]}",
                "[keys]",
                f"revoke_ms = {self.revoke_ms}",
                *self.entry_settings,
            ]
        settings = self.folder / f"{name}.ini"
        settings.write_text("\n".join(lines) + "\n")
        self.add(name, DAEMON, {SETTINGS_VARIABLE: str(settings)})

    def restart(self, name: str) -> None:
        """Start a box again, with the disk that it had."""
        self.processes[name].start()

    def kill(self, name: str) -> None:
        """End a box at once."""
        self.processes[name].kill()

    def write(self, key: str, document: object) -> None:
        """Write a key of the store as the operator or a target does."""
        body = {"key": key, "value": json.dumps(document)}
        self.http.post(self.store, "/operator", body)

    def write_raw(self, key: str, encoded: str) -> None:
        """Put any text in the place of a value, as another writer might."""
        self.http.post(self.store, "/operator", {"key": key, "raw": encoded})

    def remove(self, key: str) -> None:
        """Remove a key of the store as the operator or a target does."""
        self.http.post(self.store, "/operator", {"key": key, "value": "", "remove": 1})

    def read(self, key: str) -> str | None:
        """Return the text under a key of the store."""
        reply = self.http.request("GET", self.store, f"/kv-key?PrivateKey={key}")
        if reply.status != 200:
            return None
        return base64.b64decode(reply.document["Value"]).decode()

    def configure(
        self,
        routes: list[dict[str, Any]],
        workspaces: list[dict[str, Any]] | None = None,
        **limits: object,
    ) -> int:
        """Put a configuration in the store; return its version."""
        self.version += 3
        document = {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {
                    "Name": "plain",
                    "HealthPath": "/healthz",
                    "MaxConns": self.max_connections,
                },
                {
                    "Name": "endless",
                    "HealthPath": "/healthz",
                    "MaxConns": self.max_connections,
                },
                {
                    "Name": "model",
                    "HealthPath": "/healthz",
                    "MaxConns": self.max_connections,
                    "Engine": {"Slots": SLOTS, "KvCapacity": 1000, "ChunkTokens": 3},
                },
            ],
            "Limits": {
                "MaxHeaderBytes": 4096,
                "MaxBodyBytes": 100_000,
                "HeaderTimeoutMs": 1000,
                "IdleTimeoutMs": 5000,
                **limits,
            },
        }
        if workspaces is not None:
            document["Tenants"] = workspaces
        self.write("op/config", document)
        return self.version

    def add_target(self, target_id: str, service: str, address: str) -> None:
        """Register a target."""
        self.write_target(target_id, service, address, "ready")

    def write_target(
        self, target_id: str, service: str, address: str, state: str, born_ms: int = 0
    ) -> None:
        """Write the entry of a target, with its start if it tells that."""
        document = {
            "Service": service,
            "Address": address,
            "Zone": "a",
            "Version": "v1",
            "Slots": SLOTS,
            "State": state,
            "ColdLeftMs": 0,
            "CallSeq": 1,
        }
        if born_ms:
            document["born"] = born_ms
        self.write(f"servers/{target_id}", document)

    def wait_ready(self) -> None:
        """Wait until every entry takes callers."""
        for address in self.ready.values():
            wait_until(lambda a=address: self.answers(a, "/readyz"), "entry is ready")

    def count_holders(self) -> int:
        """Return how many holders have a seat in a table that is final."""
        text = self.read("cedarchute/seats")
        table = json.loads(text) if text else {"closed": False, "seats": []}
        return len([s for s in table["seats"] if s["box"]]) if table["closed"] else 0

    def wait_held(self, count: int) -> None:
        """Wait until `count` holders have their seats."""
        wait_until(lambda: self.count_holders() >= count, "holders have seats")

    def count(self, name: str, counter: str) -> int:
        """Return a counter of a box, as its metrics tell it."""
        reply = self.http.request("GET", self.peers[name], "/metrics")
        for line in str(reply.document).splitlines():
            if f'name="{counter}"' in line:
                return int(float(line.rpartition(" ")[2]))
        return 0

    def switch_store(self, **switch: object) -> None:
        """Bring about an outage of the store, or end it."""
        self.http.post(self.store, "/switch", switch)
