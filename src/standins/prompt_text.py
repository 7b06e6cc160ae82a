"""Texts of prompts and answers, the same for the same input."""

from __future__ import annotations

import hashlib


def render(messages: list[dict[str, str]]) -> str:
    """Return a conversation as one prompt."""
    return "".join(f"{m['role']}\n{m['content']}\n" for m in messages)


def token_at(seed: str, index: int) -> str:
    """Return the token at `index` of the answer to a prompt."""
    digest = hashlib.blake2b(f"{seed}{index // 4}".encode(), digest_size=6).hexdigest()
    start = (index % 4) * 3
    return digest[start : start + 3] + " "


def make_seed(prompt: str) -> str:
    """Return what decides the answer to a prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()
