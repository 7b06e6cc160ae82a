"""A stand-in for a model engine: continuous batching over a prefix cache.

Each step takes `step_seconds`. A step computes up to `prefill_per_step` tokens of
new prompts and one token for each running answer. Requests with a lower priority
number are admitted first. The prefix cache keeps blocks of 16 tokens, the least
recently used go first. The load report is `report_lag` seconds old, cache events
come late and some are left out.
"""

from __future__ import annotations

import eventlet

eventlet.monkey_patch()

import argparse
import heapq
import itertools
import json
import random
import time
from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING, Any, Final

from eventlet.event import Event

from standins.cache_pages import CachePages
from standins.engine_orders import EngineOrders
from standins.prefix_cache import PrefixCache
from standins.prompt_text import make_seed, render, token_at
from standins.sequence import Sequence
from standins.serving import StandIn, reply, stream

if TYPE_CHECKING:
    from collections.abc import Iterator

    from werkzeug.wrappers import Request, Response

CHARACTERS_PER_TOKEN: Final = 4
KEEP_STREAMS: Final = 2000


class Engine(StandIn):
    """The engine and its HTTP interface."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__()
        self.arguments = arguments
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.numbers = itertools.count()
        self.running: list[Sequence] = []
        self.sequences: OrderedDict[str, Sequence] = OrderedDict()
        self.cache = PrefixCache(arguments.cache_tokens, random.Random(arguments.port))
        self.counts: Counter[str] = Counter()
        self.reports: deque[tuple[float, dict[str, Any]]] = deque()
        self.orders = EngineOrders(arguments, self.counts)
        self.leaving = False
        self.stalled = False
        self.work = Event()
        self.add("POST", "/v1/chat/completions", self.on_generate)
        self.add("GET", "/v1/streams/<path:name>", self.on_resume)
        self.add("DELETE", "/v1/streams/<path:name>", self.on_cancel)
        self.add("GET", "/load", self.on_load)
        pages = CachePages(arguments, self.cache, self.counts)
        self.add("POST", "/cache/release", pages.on_release)
        self.add("GET", "/cache/held", pages.on_held)
        self.add("GET", "/cache/seen", pages.on_seen)
        self.add("GET", "/cache/events", pages.on_events)
        self.add("POST", "/cache/export", pages.on_export)
        self.add("POST", "/cache/import", pages.on_import)
        self.add("POST", "/orders", self.orders.on_order)
        self.add("GET", "/state", self.orders.on_state)
        self.add("GET", "/counts", self.on_counts)
        self.add("POST", "/switch", self.on_switch)
        eventlet.spawn(self.step_forever)

    def step_forever(self) -> None:
        """Run one step after the other while there is work."""
        next_step = time.monotonic()
        while True:
            if not (self.running or self.waiting) or self.stalled:
                self.work = Event()
                with eventlet.Timeout(0.2, False):
                    self.work.wait()
                next_step = time.monotonic()
                continue
            next_step += self.arguments.step_seconds
            eventlet.sleep(max(0.0, next_step - time.monotonic()))
            if time.monotonic() - next_step > 0.1:
                next_step = time.monotonic()
            self.step()

    def step(self) -> None:
        """Admit, prefill and generate for one step."""
        while self.waiting and len(self.running) < self.arguments.max_running:
            sequence = heapq.heappop(self.waiting)[2]
            if sequence.finish_reason is None:
                self.admit(sequence)
        prefill = self.arguments.prefill_per_step
        for sequence in list(self.running):
            if sequence.finish_reason is not None:
                self.running.remove(sequence)
                continue
            if sequence.to_prefill > 0:
                done = min(prefill, sequence.to_prefill)
                sequence.to_prefill -= done
                prefill -= done
                self.counts["computed_tokens"] += done
                if sequence.to_prefill == 0:
                    self.cache.keep_prompt(sequence.prompt, sequence.program)
                continue
            sequence.tokens += 1
            self.counts["generated_tokens"] += 1
            if sequence.tokens >= sequence.max_tokens:
                self.finish(sequence, "length")
            sequence.wake()
        self.report()

    def admit(self, sequence: Sequence) -> None:
        """Start a request: find what of its prompt is cached."""
        cached = self.cache.match(sequence.prompt, sequence.program)
        sequence.cached_tokens = min(cached, sequence.prompt_tokens - 1)
        sequence.to_prefill = sequence.prompt_tokens - sequence.cached_tokens
        self.counts["cached_tokens"] += sequence.cached_tokens
        self.running.append(sequence)

    def finish(self, sequence: Sequence, reason: str) -> None:
        """End a request and keep its answer in the cache."""
        sequence.finish_reason = reason
        if sequence in self.running:
            self.running.remove(sequence)
        answer = self.answer(sequence, 0)
        self.cache.keep_answer(sequence.prompt, answer, sequence.program)
        sequence.wake()

    def answer(self, sequence: Sequence, offset: int) -> str:
        """Return the text of an answer from `offset` characters on."""
        first = offset // CHARACTERS_PER_TOKEN
        text = "".join(
            token_at(sequence.seed, index) for index in range(first, sequence.tokens)
        )
        return text[offset - first * CHARACTERS_PER_TOKEN :]

    def on_generate(self, request: Request) -> Response:
        """Start an answer."""
        body = request.get_json(force=True)
        if len(self.waiting) >= self.arguments.max_waiting:
            response = reply({"error": "busy"}, 503)
            response.headers["Retry-After"] = "1"
            return response
        name = body["request_id"]
        prompt = render(body["messages"])
        sequence = Sequence(
            request_id=name,
            program=body["program"],
            prompt=prompt,
            max_tokens=body["max_tokens"],
            priority=body.get("priority", 0),
            seed=make_seed(prompt),
        )
        sequence.prompt_tokens = max(1, len(prompt) // CHARACTERS_PER_TOKEN)
        self.counts["requests"] += 1
        self.sequences[name] = sequence
        while len(self.sequences) > KEEP_STREAMS:
            self.sequences.popitem(last=False)
        priority = sequence.priority if self.arguments.honours_priority else 0
        heapq.heappush(self.waiting, (priority, next(self.numbers), sequence))
        if not self.work.ready():
            self.work.send(None)
        return stream(self.read(sequence, 0), "text/event-stream")

    def read(self, sequence: Sequence, offset: int) -> Iterator[bytes]:
        """Yield the events of an answer from `offset` characters on."""
        while True:
            count = sequence.tokens
            first = offset // CHARACTERS_PER_TOKEN
            skip = offset - first * CHARACTERS_PER_TOKEN
            events = []
            for index in range(first, count):
                text = token_at(sequence.seed, index)[skip:]
                skip = 0
                data = json.dumps(
                    {"choices": [{"index": 0, "delta": {"content": text}}]}
                )
                events.append(f"data: {data}\n\n")
            if events:
                offset = count * CHARACTERS_PER_TOKEN
                yield "".join(events).encode()
            if sequence.finish_reason and sequence.tokens == count:
                break
            if sequence.tokens == count:
                sequence.progress.wait()
        usage = {
            "prompt_tokens": sequence.prompt_tokens,
            "cached_tokens": sequence.cached_tokens,
            "completion_tokens": sequence.tokens,
        }
        choice = {"index": 0, "delta": {}, "finish_reason": sequence.finish_reason}
        data = json.dumps({"choices": [choice], "usage": usage})
        yield f"data: {data}\n\ndata: [DONE]\n\n".encode()

    def on_resume(self, request: Request, name: str) -> Response:
        """Give an answer from an offset on."""
        sequence = self.sequences.get(name)
        if sequence is None:
            return reply({"error": "unknown stream"}, 404)
        self.counts["resumed"] += 1
        offset = int(request.args.get("offset", 0))
        return stream(self.read(sequence, offset), "text/event-stream")

    def on_cancel(self, request: Request, name: str) -> Response:
        """Stop an answer."""
        sequence = self.sequences.get(name)
        if sequence is not None and sequence.finish_reason is None:
            self.counts["cancelled"] += 1
            self.finish(sequence, "cancelled")
        return reply({})

    def report(self) -> None:
        """Keep a load report for those who ask later."""
        now = time.monotonic()
        if self.reports and now - self.reports[-1][0] < 0.05:
            return
        self.reports.append((now, self.load()))
        if len(self.reports) > 400:
            self.reports.popleft()

    def load(self) -> dict[str, Any]:
        """Return the load as it is now."""
        waiting = [s for _, _, s in self.waiting if s.finish_reason is None]
        step = self.arguments.step_seconds
        return {
            "running": len(self.running),
            "waiting": len(waiting),
            "max_running": self.arguments.max_running,
            "waiting_tokens": sum(s.prompt_tokens for s in waiting)
            + sum(s.to_prefill for s in self.running),
            "prefill_tokens_per_second": self.arguments.prefill_per_step / step,
            "import_tokens_per_second": self.arguments.import_tokens_per_second,
            "step_seconds": step,
            "cache_tokens": self.arguments.cache_tokens,
            "cache_used_tokens": self.cache.used_tokens,
            "leaving": self.leaving,
            "role": self.orders.role,
            **self.orders.order,
        }

    def on_load(self, request: Request) -> Response:
        """Give a load report that is some time old."""
        if not (self.running or self.waiting):
            self.report()
        at = time.monotonic() - self.arguments.report_lag
        found = self.load()
        for made_at, report in reversed(self.reports):
            found = report
            if made_at <= at:
                break
        return reply({**found, "leaving": self.leaving})

    def on_counts(self, request: Request) -> Response:
        """Say what was done so far."""
        return reply({**self.counts, "evicted_blocks": self.cache.evicted})

    def on_switch(self, request: Request) -> Response:
        """Make the engine leave, stall or forget its streams."""
        body = request.get_json(force=True)
        self.leaving = body.get("leaving", self.leaving)
        self.stalled = body.get("stalled", self.stalled)
        if body.get("forget_streams"):
            self.sequences.clear()
        if body.get("flush"):
            self.cache.flush()
        return reply({})


def main() -> None:
    """Serve the engine."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--model", default="model")
    parser.add_argument("--version", default="1")
    parser.add_argument("--step_seconds", type=float, default=0.005)
    parser.add_argument("--max_running", type=int, default=16)
    parser.add_argument("--max_waiting", type=int, default=256)
    parser.add_argument("--prefill_per_step", type=int, default=100)
    parser.add_argument("--import_tokens_per_second", type=float, default=0.0)
    parser.add_argument("--cache_tokens", type=int, default=65_536)
    parser.add_argument("--report_lag", type=float, default=0.3)
    parser.add_argument("--load_model_seconds", type=float, default=0.0)
    parser.add_argument("--weight_store", default="")
    parser.add_argument("--checks_fence", type=int, default=1)
    parser.add_argument("--honours_priority", type=int, default=1)
    arguments = parser.parse_args()
    Engine(arguments).serve(arguments.host, arguments.port)


if __name__ == "__main__":
    main()
