"""What an engine tells of its prefix cache, and does with it when asked."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet

from standins.prefix_cache import BLOCK_TOKENS
from standins.serving import reply

if TYPE_CHECKING:
    import argparse
    from collections import Counter

    from werkzeug.wrappers import Request, Response

    from standins.prefix_cache import PrefixCache


class CachePages:
    """The HTTP interface of a prefix cache."""

    def __init__(
        self, arguments: argparse.Namespace, cache: PrefixCache, counts: Counter[str]
    ) -> None:
        self.arguments = arguments
        self.cache = cache
        self.counts = counts

    def on_release(self, request: Request) -> Response:
        """Free what only one program needs."""
        program = request.get_json(force=True)["program"]
        self.counts["released"] += 1
        self.cache.release(program)
        return reply({})

    def on_held(self, request: Request) -> Response:
        """Say which programs hold cache, and how much."""
        held = self.cache.count_held()
        return reply({"programs": sorted(held), "tokens": dict(held)})

    def on_seen(self, request: Request) -> Response:
        """Say which blocks were ever in a prompt, and which an answer made.

        A block that an answer made was not computed from a prompt the first time.
        """
        seen = [block.hex() for block in self.cache.seen]
        made = [block.hex() for block in self.cache.made]
        return reply({"blocks": seen, "made": made})

    def on_events(self, request: Request) -> Response:
        """Give cache events after a number, late."""
        after = int(request.args.get("after", -1))
        ripe = time.monotonic() - self.arguments.report_lag
        return reply({"events": self.cache.events_after(after, ripe)})

    def on_export(self, request: Request) -> Response:
        """Give the blocks of a program, for another engine to import."""
        program = request.get_json(force=True)["program"]
        return reply({"program": program, "blocks": self.cache.blocks_of(program)})

    def on_import(self, request: Request) -> Response:
        """Take in the blocks of a program."""
        body = request.get_json(force=True)
        tokens = len(body["blocks"]) * BLOCK_TOKENS
        eventlet.sleep(tokens / max(1.0, self.arguments.import_tokens_per_second))
        self.cache.take_in(body["blocks"], body["program"])
        self.counts["imported_tokens"] += tokens
        return reply({})
