"""Generation request to an engine."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarchute.programs.records import ChatMessage


@dataclass(frozen=True)
class GenerateRequest:
    """One chat-completions request.

    Engines serve lower values of `priority` first.
    """

    request_id: str
    program: str
    model: str
    messages: Sequence[ChatMessage]
    max_tokens: int
    priority: int

    def to_bytes(self) -> bytes:
        """Return the JSON body of the request."""
        return json.dumps(
            {
                "request_id": self.request_id,
                "program": self.program,
                "model": self.model,
                "messages": [
                    {"role": m.role, "content": m.content} for m in self.messages
                ],
                "max_tokens": self.max_tokens,
                "priority": self.priority,
                "stream": True,
            }
        ).encode()
