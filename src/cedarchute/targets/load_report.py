"""Load report of an engine."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class LoadReport(BaseModel):
    """Load of an engine at the time of the poll.

    `import_tokens_per_second` is the rate at which the engine imports cache that
    another engine has exported; 0 if it does not support that.
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
