"""A stand-in behind a local site."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class LocalTarget:
    """A stand-in behind the system."""

    name: str
    service: str
    port: int
    failure_domain: str
    options: dict[str, str] = field(default_factory=dict)
