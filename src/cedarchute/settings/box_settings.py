"""Settings models of one box."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003

from pydantic import Field

from cedarchute.message import Message
from cedarchute.settings.fields import AddressField, Name, Seconds  # noqa: TC001


class BoxSection(Message):
    """``[box]``: identity and addresses of this box.

    `caller_address` and `peer_address` are advertised to others. The box also listens
    there unless `caller_listen` or `peer_listen` differ, for example behind NAT.
    """

    name: Name
    failure_domain: Name
    region: Name = "region"
    caller_address: AddressField
    peer_address: AddressField
    caller_listen: AddressField | None = None
    peer_listen: AddressField | None = None
    data_folder: Path | None = None


class PlatformSection(Message):
    """``[platform]``: the services that the platform runs."""

    store: AddressField
    box_list: AddressField | None = None
    statsd: AddressField | None = None
    key_prefix: str = Field(default="cedarchute/", pattern=r"^[a-z0-9/-]+/$")


class MembershipSection(Message):
    """``[membership]``: leases, heartbeats and failure detection."""

    lease_seconds: Seconds = 15.0
    heartbeat_seconds: Seconds = 1.0
    heartbeat_peers: int = Field(default=2, ge=1, le=16)
    takeover_seconds: Seconds = 10.0


class CopiesSection(Message):
    """``[copies]``: how many other boxes hold the records of a program."""

    wanted: int = Field(default=2, ge=0, le=4)
    spare: int = Field(default=1, ge=0, le=2)
    spare_after_seconds: Seconds = 0.25
    append_seconds: Seconds = 5.0


class ServingSection(Message):
    """``[serving]``: limits and intervals of serving calls."""

    entry_keep_seconds: Seconds = 10.0
    coalesce_seconds: float = Field(default=0.03, ge=0, le=0.048)
    max_body_bytes: int = Field(default=8_000_000, ge=1_000)
    max_programs: int = Field(default=4_000, ge=1)
    drain_seconds: Seconds = 30.0
    idle_program_seconds: Seconds = 900.0
    keep_answers_seconds: Seconds = 600.0
    subset_targets: int = Field(default=10, ge=1)
    load_seconds: Seconds = 1.5
    sweep_seconds: Seconds = 30.0
    order_seconds: Seconds = 3.0


class BoxSettings(Message):
    """Every setting of one box."""

    box: BoxSection
    platform: PlatformSection
    membership: MembershipSection = MembershipSection()
    copies: CopiesSection = CopiesSection()
    serving: ServingSection = ServingSection()
