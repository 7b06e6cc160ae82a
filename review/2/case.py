"""A surplus answer of a runner meets a request that was sent again.

Two plain services with two runners of six slots each and a short queue. Each half second
a few more requests that may run once come than the runners have places. A runner that is
full says so by 503 with Not-Executed; the entry sends such a request again, with the same
Attempt-Id. With TROUBLE=0 that is all. The trouble: of one runner of each service, three
in a hundred answers come a second time, late, in the place of the next one.
"""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent

from small_site import NAME, play
from wire import Runner, answer, ask

SERVICES = ("archive", "status", "report", "verdict")
RUNNERS = 2
SLOTS = 2
QUEUE = 1
WORK_SECONDS = 0.25
# A share of .03 of the answers, of at most .6 of the runners, 5 s at a time.
SURPLUS_SHARE = 0.03
SPOILT_RUNNERS = 1
SPOILT_SECONDS = 5.0
PAUSE_SECONDS = 1.0
# Consumers that send at the beginning of a round through one entry, and some who come a
# little later, each through another entry.
FIRST = RUNNERS * (SLOTS + QUEUE)
LATER = 2
ROUND_SECONDS = 0.6
ROUNDS = 90


class Service:
    """The runners of one service, and what they ran."""

    def __init__(self, site, name: str, trouble: bool) -> None:
        self.site = site
        self.trouble = trouble
        self.lock = threading.Lock()
        self.ran: Counter[str] = Counter()
        self.chance = random.Random(name)
        self.slots = {}
        self.held: Counter[str] = Counter()
        for number in range(RUNNERS):
            runner = Runner(f"i-{name}-{number}", self.serve)
            self.slots[runner.name] = threading.Semaphore(SLOTS)
            site.add_server(runner.name, name, runner.address, SLOTS)

    def is_spoilt(self, name: str) -> bool:
        """Whether this answer comes a second time."""
        if not self.trouble or int(name.rpartition("-")[2]) >= SPOILT_RUNNERS:
            return False
        seconds = time.monotonic() - self.site.began
        if seconds % (SPOILT_SECONDS + PAUSE_SECONDS) > SPOILT_SECONDS:
            return False
        with self.lock:
            return self.chance.random() < SURPLUS_SHARE

    def serve(self, runner, sock, reader) -> None:
        """Serve a connection: one request at a time."""
        surplus, earlier = b"", ""
        while True:
            line, fields, _ = reader.message()
            if " /healthz " in line:
                sock.sendall(runner.health())
                continue
            attempt = fields["attempt-id"]
            if surplus:
                # Late, in the place of the next answer, with the id of its own request.
                sock.sendall(surplus)
                facts = {"runner": runner.name, "of": earlier, "before": attempt}
                self.site.log("surplus answer", **facts)
                surplus = b""
            if fields.get("expect-instance", runner.name) != runner.name:
                sock.sendall(answer(attempt, "421 Misdirected Request"))
                continue
            given = self.run(runner.name, attempt)
            sock.sendall(given)
            if self.is_spoilt(runner.name):
                surplus, earlier = given, attempt

    def run(self, name: str, attempt: str) -> bytes:
        """Run a request, or turn it away when the queue is full."""
        with self.lock:
            is_full = self.held[name] >= SLOTS + QUEUE
            self.held[name] += not is_full
        if is_full:
            self.site.log("refused", runner=name, attempt=attempt)
            headers = "Not-Executed: 1\r\n"
            return answer(attempt, "503 Service Unavailable", headers=headers)
        with self.slots[name]:
            with self.lock:
                self.ran[attempt] += 1
            self.site.log("runs", runner=name, attempt=attempt)
            time.sleep(WORK_SECONDS)
        with self.lock:
            self.held[name] -= 1
        body = f"answer to {attempt} by {name}".encode()
        return answer(attempt, "200 OK", body, seal=f"seal.{attempt}.{name}")


def make_route(name: str) -> dict:
    return {
        "Name": name, "Host": NAME, "PathPrefix": f"/{name}/",
        "Type": "non_idempotent", "TimeoutMs": 6000, "SloMs": 1200, "Priority": 2,
        "Service": name, "MaxAttempts": 2,
    }  # fmt: skip


def case(site, trouble: bool) -> list[str]:
    """Return where the rules were broken."""
    site.start(entries=1 + LATER)
    services = {name: Service(site, name, trouble) for name in SERVICES}
    told = [{"Name": n, "HealthPath": "/healthz", "MaxConns": 110} for n in SERVICES]
    site.configure([make_route(name) for name in SERVICES], told)
    site.wait_ready()
    known = len(SERVICES) * RUNNERS
    for name in [name for name in site.listen if name.startswith("entry")]:
        site.wait(
            lambda n=name: site.read_log(n).count("Target is ready.") >= known,
            "runners are known",
        )
    began = time.monotonic() + 0.5
    answered: dict[str, tuple[int, str, bytes]] = {}

    def consume(name: str, number: int) -> None:
        later = max(0, number - FIRST + 1)
        offset = 0.05 * later
        address = site.listen[f"entry-{1 + later}"]["Frontend"]
        for count in range(ROUNDS):
            start = began + count * ROUND_SECONDS + offset
            time.sleep(max(0.0, start - time.monotonic()))
            attempt = f"{name[0]}{number:02d}-{count:04d}"
            site.log("sent", attempt=attempt)
            try:
                status, fields, body = ask(
                    address, f"/{name}/x", attempt, b"x" * 600, seconds=6.0
                )
                answered[attempt] = (status, fields.get("server-seal", ""), body)
            except (OSError, EOFError) as error:
                status = repr(error)
            site.log("answered", attempt=attempt, status=status)

    threads = [
        threading.Thread(target=consume, args=(name, number))
        for name in SERVICES
        for number in range(FIRST + LATER)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1.0)
    broken = []
    for service in services.values():
        for attempt, runs in service.ran.items():
            status = answered.get(attempt, (0,))[0]
            if runs > 1:
                broken.append(f"TWICE: {attempt} ran {runs} times, answered {status}")
            if status in (408, 421, 429, 503):
                broken.append(f"REFUSED: {attempt} was answered {status} and ran")
    for attempt, (status, seal, body) in answered.items():
        is_own = f".{attempt}." in seal and attempt.encode() in body
        if status == 200 and not is_own:
            broken.append(f"MIXED: {attempt} got {seal!r} {body[:60]!r}")
    counts = Counter(status for status, _, _ in answered.values())
    runs = sum(sum(service.ran.values()) for service in services.values())
    site.log("counts", statuses=dict(counts), runs=runs)
    if not counts[200]:
        raise RuntimeError("nothing was served")
    return broken


if __name__ == "__main__":
    play(case, str(HERE))
