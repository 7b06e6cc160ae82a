"""Measures how soon another disk may be lost after a machine was replaced.

``python -m experiments.replacement --turns 4000 --turn_bytes 30000``: a holder falls
silent for good, a successor starts, and later all processes end and one more disk is
lost. Prints one line of JSON with the seconds of each step.
"""

from __future__ import annotations

import json
import tempfile
import time
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from absl import app, flags

from cedarchute.turns.records import Turn
from cedarchute.turns.turn_journal import TurnJournal, encode_line
from experiments.node_site import NodeSite
from experiments.raw_caller import call
from experiments.waiting import wait_until
from standins.raw_target import LAST_CHUNK, RawTarget, chunk, event, stream_head

if TYPE_CHECKING:
    from collections.abc import Sequence

TURNS: Final = flags.DEFINE_integer("turns", 4000, "Turns on each disk.")
TURN_BYTES: Final = flags.DEFINE_integer("turn_bytes", 30_000, "Bytes of a turn.")
WAIT_SECONDS: Final = flags.DEFINE_float(
    "wait_seconds", 2.5, "Between the successor's start and the next loss, in seconds."
)

HOLDERS: Final = ("holder-1", "holder-2", "holder-3")
SUCCESSOR: Final = "holder-4"
# What a holder was away for counts as lost until then.
CALM_SECONDS: Final = 5.0
SERVED_WITHIN_SECONDS: Final = 120.0
ROUTE: Final = {
    "Name": "turns",
    "Host": "site.example",
    "PathPrefix": "/turn/",
    "Type": "streaming",
    "TimeoutMs": 8000,
    "SloMs": 400,
    "Priority": 0,
    "Service": "model",
    "MaxAttempts": 2,
    "Retained": True,
    "RetentionS": 60.0,
}


def answer(request: Any, connection: Any) -> None:
    """Answer a turn with one event."""
    connection.sendall(stream_head(request))
    connection.sendall(chunk(event(0, b"one")))
    connection.sendall(LAST_CHUNK)


def take_turn(site: NodeSite, turn: str) -> bool:
    """Take a first turn; return whether it was served."""
    head = f"Program-Id: {turn}\r\nToken-Count: 100,30\r\n".encode()
    address = site.callers["entry-1"]
    return call(address, b"/turn/x", turn.encode(), b"b", headers=head)[0] == 200


def start_site(site: NodeSite, target: RawTarget) -> None:
    """Start a store, three holders and an entry before one target."""
    # Histories of this experiment are larger than the smallest box may hold.
    site.box_settings = ["memory_mb = 4000"]
    site.start_store()
    for name, domain in zip(HOLDERS, "abc", strict=True):
        site.start_holder(name, domain)
    site.start_entry("entry-1", "a")
    site.configure([ROUTE])
    site.wait_ready()
    site.wait_held(len(HOLDERS))
    site.add_target("t-1", "model", target.address)
    wait_until(lambda: take_turn(site, f"w-{time.monotonic()}"), "a turn is served")


def add_history(site: NodeSite) -> None:
    """Restart all holders with a history on each disk."""
    text = b"x" * TURN_BYTES.value
    turns = (
        Turn(f"p-{number}", f"old-{number}", "", text, b"", 1, "t-1", 600.0)
        for number in range(TURNS.value)
    )
    history = b"".join(map(encode_line, turns))
    for name in HOLDERS:
        site.kill(name)
        journal = TurnJournal(site.folder / f"{name}-data")
        journal.write(history)
        journal.close_segment()
    for name in HOLDERS:
        site.restart(name)
    site.wait_ready()
    wait_until(lambda: take_turn(site, f"h-{time.monotonic()}"), "a turn is served")


def find_times(site: NodeSite, names: Sequence[str], message: str) -> list[float]:
    """Return when boxes logged a message, in seconds of the day of their clock."""
    lines = [
        json.loads(line)
        for name in names
        for line in site.processes[name].read_log().splitlines()
        if f'"{message}"' in line
    ]
    found = [datetime.fromisoformat(line["time"].replace(",", ".")) for line in lines]
    return sorted(moment.timestamp() for moment in found)


def measure(site: NodeSite) -> dict[str, object]:
    """Replace a holder, lose a disk, and return the seconds of each step."""
    site.processes["holder-2"].pause()
    began = time.time()
    site.start_holder(SUCCESSOR, "b")
    wait_until(lambda: find_times(site, [SUCCESSOR], "Started."), "it has started")
    started = find_times(site, [SUCCESSOR], "Started.")[0]
    time.sleep(WAIT_SECONDS.value)
    present = [name for name in (*HOLDERS, SUCCESSOR) if name != "holder-2"]
    released = find_times(site, present, "Seats of incomplete disks are released.")
    copied = find_times(site, [SUCCESSOR], "Copy of a seat is complete.")
    for name in present:
        site.kill(name)
    for path in (site.folder / "holder-3-data").iterdir():
        path.unlink()
    for name in present:
        site.restart(name)
    back = time.time()
    tries = iter(range(100_000))
    wait_until(
        lambda: take_turn(site, f"after-{next(tries)}"),
        "a turn is served",
        SERVED_WITHIN_SECONDS,
    )
    return {
        "turns": TURNS.value,
        "turn_bytes": TURN_BYTES.value,
        "started": round(started - began, 2),
        "released_after_started": [round(t - started, 2) for t in released[:1]],
        "copied_after_started": [round(t - started, 2) for t in copied[:1]],
        "served_after_return": round(time.time() - back, 2),
    }


def main(_: Sequence[str]) -> None:
    """Run one measurement."""
    target = RawTarget(answer)
    with tempfile.TemporaryDirectory() as folder, NodeSite(Path(folder)) as site:
        start_site(site, target)
        add_history(site)
        time.sleep(CALM_SECONDS)
        print(json.dumps(measure(site)))


if __name__ == "__main__":
    app.run(main)
