"""The prefix cache of the stand-in of an engine, with its late events."""

from __future__ import annotations

import hashlib
import itertools
import time
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    import random

BLOCK_CHARACTERS: Final = 64
BLOCK_TOKENS: Final = 16
MOST_EVENTS: Final = 50_000
EVENTS_AT_ONCE: Final = 1000
LOST_SHARE: Final = 0.01


def hash_blocks(text: str) -> list[bytes]:
    """Return the chained hashes of the whole blocks of a text."""
    hashes = []
    previous = b""
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS].encode()
        previous = hashlib.blake2b(previous + block, digest_size=8).digest()
        hashes.append(previous)
    return hashes


class PrefixCache:
    """Blocks of 16 tokens, each with the programs that need it; the oldest go.

    Attributes
    ----------
    seen, made : set of bytes
        Blocks that were ever part of a prompt, and those that an answer made.
    """

    def __init__(self, most_tokens: int, random_source: random.Random) -> None:
        self.most_blocks = most_tokens // BLOCK_TOKENS
        self.random = random_source
        self.blocks: OrderedDict[bytes, set[str]] = OrderedDict()
        self.seen: set[bytes] = set()
        self.made: set[bytes] = set()
        self.events: list[dict[str, Any]] = []
        self.numbers = itertools.count()
        self.evicted = 0

    @property
    def used_tokens(self) -> int:
        """The tokens that are cached now."""
        return len(self.blocks) * BLOCK_TOKENS

    def match(self, text: str, program: str) -> int:
        """Return how many tokens of a prompt are cached; `program` needs them now."""
        cached = 0
        for block in hash_blocks(text):
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            self.blocks[block].add(program)
            cached += BLOCK_TOKENS
        return cached

    def keep_prompt(self, text: str, program: str) -> None:
        """Keep the blocks of a prompt that was computed."""
        self.keep(text, program)
        self.seen.update(hash_blocks(text))

    def keep_answer(self, prompt: str, answer: str, program: str) -> None:
        """Keep the blocks of a prompt with its answer."""
        text = f"{prompt}assistant\n{answer}\n"
        self.keep(text, program)
        self.made.update(hash_blocks(text)[len(prompt) // BLOCK_CHARACTERS :])

    def keep(self, text: str, program: str) -> None:
        """Put the blocks of a text into the cache; drop the oldest ones."""
        for block in hash_blocks(text):
            if block not in self.blocks:
                self.blocks[block] = set()
                self.add_event("stored", block, program)
            self.blocks[block].add(program)
            self.blocks.move_to_end(block)
        self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the blocks used longest ago until the rest fits."""
        while len(self.blocks) > self.most_blocks:
            block, programs = self.blocks.popitem(last=False)
            self.evicted += 1
            self.add_event("removed", block, next(iter(programs), ""))

    def release(self, program: str) -> None:
        """Free what only one program needs."""
        for block, programs in list(self.blocks.items()):
            if program in programs:
                programs.discard(program)
                if not programs:
                    del self.blocks[block]
                    self.add_event("removed", block, program)

    def count_held(self) -> Counter[str]:
        """Return how many tokens each program holds."""
        held: Counter[str] = Counter()
        for programs in self.blocks.values():
            for program in programs:
                held[program] += BLOCK_TOKENS
        return held

    def blocks_of(self, program: str) -> list[str]:
        """Return the blocks that a program needs."""
        return [b.hex() for b, programs in self.blocks.items() if program in programs]

    def take_in(self, blocks: list[str], program: str) -> None:
        """Take in blocks that another engine has exported."""
        for text in blocks:
            block = bytes.fromhex(text)
            self.blocks.setdefault(block, set()).add(program)
            self.blocks.move_to_end(block)
        self.drop_oldest()

    def add_event(self, kind: str, block: bytes, program: str) -> None:
        """Note a cache event; one in a hundred is lost."""
        if self.random.random() < LOST_SHARE:
            return
        self.events.append(
            {
                "number": next(self.numbers),
                "kind": kind,
                "block": block.hex(),
                "program": program,
                "at": time.monotonic(),
            }
        )
        if len(self.events) > MOST_EVENTS:
            del self.events[: MOST_EVENTS // 2]

    def events_after(self, number: int, ripe: float) -> list[dict[str, Any]]:
        """Return events after a number that are old enough to be told."""
        found = [e for e in self.events if e["number"] > number and e["at"] <= ripe]
        return found[:EVENTS_AT_ONCE]

    def flush(self) -> None:
        """Forget everything."""
        self.blocks.clear()
        self.seen.clear()
        self.made.clear()
