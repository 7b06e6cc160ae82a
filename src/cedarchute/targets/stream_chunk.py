"""Pieces of an answer as an engine streams it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamChunk:
    """Some text, made of `tokens` tokens."""

    text: str
    tokens: int


@dataclass(frozen=True)
class StreamEnd:
    """The end of an answer and what it cost, in tokens."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
