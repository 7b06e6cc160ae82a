"""A target that is a process, and when requests were sent to it and read by it."""

from __future__ import annotations

import json
import time
from datetime import datetime
from typing import TYPE_CHECKING, NamedTuple

from experiments.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterable

    from experiments.node_site import NodeSite


class Moment(NamedTuple):
    """When something befell a call, in Unix time; `box` sent it."""

    at: float
    call_id: str
    box: str = ""


class LeavingTarget:
    """Starts a target of a site, has it leave, and tells what came to it.

    Attributes
    ----------
    left_at : float
        When the store had taken that it leaves; infinite before.
    """

    def __init__(self, site: NodeSite, target_id: str, service: str) -> None:
        self.site = site
        self.id = target_id
        self.service = service
        self.left_at = float("inf")
        arguments = ["-m", "standins.recording_target", "--id", target_id]
        self.process = site.add(target_id, arguments)
        self.address = wait_until(self.read_address, f"{target_id} listens")
        site.add_target(target_id, service, self.address)

    def read_address(self) -> str:
        """Return the address that it listens at; empty before."""
        for line in self.process.read_log().splitlines():
            if line.startswith("listens "):
                return line.split()[1]
        return ""

    def leave(self, *, says_so: bool = True) -> None:
        """Say in the store that it leaves, or have its entry go."""
        if says_so:
            self.site.write_target(self.id, self.service, self.address, "draining")
        else:
            self.site.remove(f"servers/{self.id}")
        self.left_at = time.time()

    def list_reads(self, since: float = 0.0) -> list[Moment]:
        """Return the requests that it read after `since`."""
        lines = (line.split() for line in self.process.read_log().splitlines())
        words = [line for line in lines if line and line[0] == "read"]
        reads = [Moment(float(at), call_id) for _, at, call_id in words]
        return [read for read in reads if read.at > since]

    def list_sends(self, boxes: Iterable[str], since: float = 0.0) -> list[Moment]:
        """Return the calls that boxes logged as sent to it after `since`."""
        sends = []
        for box in boxes:
            for line in self.site.processes[box].read_log().splitlines():
                if '"Call sent."' not in line or f'"{self.id}"' not in line:
                    continue
                fields = json.loads(line)
                at = datetime.strptime(fields["time"], "%Y-%m-%d %H:%M:%S,%f")
                if at.timestamp() > since:
                    moment = Moment(at.timestamp(), fields.get("request_id", ""), box)
                    sends.append(moment)
        return sends
