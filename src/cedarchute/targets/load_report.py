"""What an engine says of its load; late, and seen by many boxes."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class LoadReport(BaseModel):
    """The load of an engine some moments ago.

    `import_tokens_per_second` is how fast it takes in cache that another engine
    has exported; 0 when it cannot.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    running: int
    waiting: int
    max_running: int
    waiting_tokens: int = 0
    prefill_tokens_per_second: float = 20_000.0
    import_tokens_per_second: float = 0.0
    step_seconds: float = 0.005
    cache_tokens: int = 0
    cache_used_tokens: int = 0
    leaving: bool = False
    model: str = ""
    version: str = ""
    role: str = ""
