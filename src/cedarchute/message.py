"""The base of every validated message at a border."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class Message(BaseModel):
    """An immutable validated message; unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    def to_json(self) -> str:
        """Return the message as compact JSON text."""
        return self.model_dump_json()
