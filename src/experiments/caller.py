"""A caller as the users' programs are: asks for entries, retries by key."""

from __future__ import annotations

import itertools
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import urllib3

from experiments.http_json import HttpJson, JsonReply

if TYPE_CHECKING:
    from collections.abc import Iterator

RETRY_SECONDS: Final = 0.3
GIVE_UP_SECONDS: Final = 60.0
SILENCE_SECONDS: Final = 5.0
AVOID_SECONDS: Final = 5.0


@dataclass
class StreamResult:
    """What a caller has of a streamed answer."""

    text: str = ""
    finish_reason: str | None = None
    verdict: str | None = None
    problem: dict[str, Any] | None = None
    usage: dict[str, int] | None = None
    is_whole: bool = False
    restarts: int = 0
    event_times: list[float] = field(default_factory=list)


class Caller:
    """Keeps the entries for as long as it may and spreads over them by chance.

    An answer names boxes that were live when it was given. A box that is paused
    since then takes the connection and says nothing, so the caller asks another
    one with the same key and leaves the silent one alone for a while.

    Parameters
    ----------
    silence_seconds : float
        How long a box may say nothing before another one is asked.
    """

    def __init__(
        self,
        first: list[str],
        seed: int = 0,
        http: HttpJson | None = None,
        silence_seconds: float = SILENCE_SECONDS,
    ) -> None:
        self.http = http or HttpJson()
        self.silence_seconds = silence_seconds
        self.known = list(first)
        self.entries = list(first)
        self.keep_until = 0.0
        self.failed_at: dict[str, float] = {}
        self.random = random.Random(seed)
        self.refusals: Counter[str] = Counter()
        self.retries = 0

    def choose_entry(self) -> str:
        """Return an address to use, from an answer that may still be kept."""
        if time.monotonic() >= self.keep_until:
            self.ask_entries()
        oldest = time.monotonic() - AVOID_SECONDS
        sound = [e for e in self.entries if self.failed_at.get(e, oldest) <= oldest]
        return self.random.choice(sound or self.entries)

    def on_failed(self, address: str) -> None:
        """Leave a box alone for a while, and ask for the entries again."""
        self.failed_at[address] = time.monotonic()
        self.keep_until = 0.0

    def ask_entries(self) -> None:
        """Ask any box that answers for the entries."""
        shuffled = self.random.sample(self.known, len(self.known))
        for address in sorted(shuffled, key=lambda a: self.failed_at.get(a, 0.0)):
            try:
                reply = self.http.request("GET", address, "/v1/entries", timeout=3.0)
            except urllib3.exceptions.HTTPError:
                self.failed_at[address] = time.monotonic()
                continue
            if reply.status != 200 or not reply.document["entries"]:
                continue
            self.entries = [e["address"] for e in reply.document["entries"]]
            self.keep_until = time.monotonic() + reply.document["keep_seconds"]
            return

    def try_request(
        self, method: str, path: str, document: object, headers: dict[str, str]
    ) -> JsonReply | None:
        """Send a request to some entry; None when the connection failed."""
        address = self.choose_entry()
        try:
            return self.http.request(
                method, address, path, document, headers, self.silence_seconds
            )
        except urllib3.exceptions.HTTPError:
            self.on_failed(address)
            return None

    def request(
        self,
        method: str,
        path: str,
        document: object = None,
        headers: dict[str, str] | None = None,
    ) -> JsonReply:
        """Send a request until its answer is final; only for what has a key."""
        deadline = time.monotonic() + GIVE_UP_SECONDS
        while True:
            reply = self.try_request(method, path, document, headers or {})
            if reply is not None and reply.status < 400:
                return reply
            if reply is not None:
                code = reply.document.get("code", "")
                self.refusals[code] += 1
                if reply.document.get("retry_after") is None:
                    return reply
            if time.monotonic() > deadline:
                raise TimeoutError(f"{method} {path}: {reply}")
            self.retries += 1
            wait = RETRY_SECONDS
            if reply is not None:
                wait = float(reply.document.get("retry_after", wait))
            time.sleep(wait * self.random.uniform(0.8, 1.2))

    def open(
        self, workspace: str = "members", parent: str | None = None, **budget: float
    ) -> str:
        """Open a program and return its id."""
        document = {"workspace": workspace, "budget": budget, "parent": parent}
        reply = self.request("POST", "/v1/programs", document)
        if reply.status != 201:
            raise ValueError(f"not opened: {reply.document}")
        return reply.document["program"]

    def open_here(self, address: str, workspace: str = "members") -> str:
        """Open a program at one box, which becomes its home."""
        document = {"workspace": workspace}
        reply = self.http.request("POST", address, "/v1/programs", document)
        if reply.status != 201:
            raise ValueError(f"not opened: {reply.document}")
        return reply.document["program"]

    def call(self, program: str, key: str, **request: object) -> JsonReply:
        """Run a call to its final answer."""
        headers = {"Idempotency-Key": key}
        path = f"/v1/programs/{program}/calls"
        return self.request("POST", path, request, headers)

    def end(self, program: str) -> JsonReply:
        """End a program."""
        return self.request("DELETE", f"/v1/programs/{program}")

    def show(self, program: str) -> dict[str, Any]:
        """Return what the system says of a program."""
        return self.request("GET", f"/v1/programs/{program}").document

    def stream(
        self, program: str, key: str, address: str | None = None, **request: object
    ) -> StreamResult:
        """Run a call and read its stream to the end, from any entry."""
        result = StreamResult()
        deadline = time.monotonic() + GIVE_UP_SECONDS
        position = ""
        while not result.is_whole:
            if time.monotonic() > deadline:
                raise TimeoutError(f"stream of {key}: {result}")
            headers = {"Idempotency-Key": key}
            if position:
                headers["Last-Event-ID"] = position
            target = address or self.choose_entry()
            address = None
            try:
                for event in self.open_stream(target, program, headers, request):
                    position = event.get("id", position)
                    take_event(result, event)
            except urllib3.exceptions.HTTPError:
                self.on_failed(target)
            problem = result.problem
            if problem is not None and problem.get("retry_after") is not None:
                self.refusals[problem["code"]] += 1
                result.problem = None
                result.is_whole = False
                time.sleep(problem["retry_after"])
            if not result.is_whole:
                self.retries += 1
        return result

    def open_stream(
        self,
        address: str,
        program: str,
        headers: dict[str, str],
        request: dict[str, object],
    ) -> Iterator[dict[str, str]]:
        """Yield the events of a stream, each as its fields."""
        response = self.http.pool.request(
            "POST",
            f"http://{address}/v1/programs/{program}/calls",
            json={**request, "stream": True},
            headers=headers,
            preload_content=False,
            timeout=self.silence_seconds,
        )
        if response.status != 200:
            yield {"event": "problem", "data": response.read().decode()}
            return
        buffer = b""
        while chunk := response.read1(65_536):
            buffer += chunk
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                lines = event.decode().split("\n")
                yield dict(line.split(": ", 1) for line in lines if ": " in line)
        response.release_conn()


def take_event(result: StreamResult, event: dict[str, str]) -> None:
    """Add one event to what the caller has."""
    result.event_times.append(time.monotonic())
    if event.get("event") == "restart":
        result.text = ""
        result.restarts += 1
        return
    if event.get("event") == "problem":
        result.problem = json.loads(event["data"])
        result.verdict = result.problem["verdict"]
        result.is_whole = True
        return
    if event.get("data") in (None, "[DONE]"):
        return
    document = json.loads(event["data"])
    choice = document["choices"][0]
    result.text += choice["delta"].get("content", "")
    if choice.get("finish_reason"):
        result.finish_reason = choice["finish_reason"]
        result.verdict = document["verdict"]
        result.usage = document["usage"]
        result.is_whole = True


_keys = itertools.count(1)


def new_key(prefix: str = "call") -> str:
    """Return a key that no other call of this process has."""
    return f"{prefix}-{next(_keys)}"
