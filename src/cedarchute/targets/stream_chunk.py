"""Chunks and end of a streamed answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamChunk:
    """A chunk of text, which consists of `tokens` tokens."""

    text: str
    tokens: int


@dataclass(frozen=True)
class StreamEnd:
    """End of an answer, with its token usage."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
