"""The model of the file that operators apply as a whole."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import BeforeValidator, Field

from cedarchute.ini import split_words
from cedarchute.message import Message
from cedarchute.settings.fields import AddressField, Name, Seconds  # noqa: TC001


class Policy(StrEnum):
    """How calls are ordered and placed."""

    PROGRAM_AWARE = "program_aware"
    ROUND_ROBIN = "round_robin"
    LEAST_LOAD = "least_load"
    STICKY = "sticky"


class Order(StrEnum):
    """Which program goes first at an engine, under the program-aware policy."""

    OLDEST = "oldest"
    ATTAINED = "attained"


class ServiceKind(StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class TargetState(StrEnum):
    """What operators want of a target."""

    SERVING = "serving"
    LEAVING = "leaving"


class SiteSection(Message):
    """``[site]``: what holds for every service."""

    name: Name
    policy: Policy = Policy.PROGRAM_AWARE
    order: Order = Order.OLDEST
    latency_weight: float = Field(default=0.5, ge=0, le=1)
    retry_allowance: float = Field(default=0.1, ge=0, le=1)
    hold_shared_seconds: int = Field(default=30, ge=0, le=3600)
    admit_backlog: float = Field(default=3.0, ge=0)
    loads_at_once: int = Field(default=2, ge=1)


class ServiceSection(Message):
    """``[service NAME]``: one kind of request and how it is treated."""

    kind: ServiceKind
    repeatable: bool = True
    timeout_seconds: Seconds = 60.0
    model: Name | None = None
    version: str | None = None
    adapters: Annotated[tuple[str, ...], BeforeValidator(split_words)] = ()


class TargetSection(Message):
    """``[target NAME]``: one place that serves a service."""

    service: Name
    address: AddressField
    failure_domain: Name
    region: Name = "region"
    checks_fence: bool = False
    state: TargetState = TargetState.SERVING


class WorkspaceSection(Message):
    """``[workspace NAME]``: the limits of one workspace over the whole site."""

    calls_per_second: float = Field(default=100.0, gt=0)
    weight: float = Field(default=1.0, gt=0, le=100)
    program_tokens: int = Field(default=1_000_000, ge=1)
    program_calls: int = Field(default=200, ge=1)
    program_seconds: Seconds = 3_600.0


class SiteFile(Message):
    """A whole operators' file."""

    site: SiteSection
    services: dict[str, ServiceSection] = {}
    targets: dict[str, TargetSection] = {}
    workspaces: dict[str, WorkspaceSection] = {}

    @property
    def is_program_aware(self) -> bool:
        """Whether calls are ordered and placed by their programs."""
        return self.site.policy is Policy.PROGRAM_AWARE

    def targets_of(self, service: str) -> dict[str, TargetSection]:
        """Return the targets of one service by name."""
        return {n: t for n, t in self.targets.items() if t.service == service}
