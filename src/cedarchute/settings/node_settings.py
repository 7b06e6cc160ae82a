"""Settings of an entry box or a holder on the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec
from msgspec.structs import replace

from cedarchute.address import Address
from cedarchute.decisions.quota_share import QuotaTolerance
from cedarchute.fleet.box_entry import Role
from cedarchute.ini import IniError, parse_sections
from cedarchute.platform.contracts import calls_for_bounded_load
from cedarchute.settings.load_sections import (
    AnswersSection,
    FairShareSection,
    PlacementSection,
    PressureSection,
    StreamsSection,
    WaitingSection,
)

ValueT = TypeVar("ValueT")


class NodeSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[box]``: identity and address of this box.

    Attributes
    ----------
    peer_port : int
        Port on `ip` for connections of other boxes.
    memory_mb : float
        Megabytes that the process may use; the platform ends one that exceeds them.
    max_descriptors : int
        Descriptors that the process may open; 0 for what the system tells.
    """

    role: Role
    name: str
    failure_domain: str
    region: str
    ip: str
    peer_port: int
    data_folder: str = ""
    memory_mb: float = 150.0
    max_descriptors: int = 0


class ListenSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[listen]``: listeners other than the one for boxes.

    Attributes
    ----------
    metrics : str
        Additional address that serves metrics; the only key that also applies to
        holders.
    """

    callers: str = ""
    ready: str = ""
    directory: str = ""
    exchange: str = ""
    metrics: str = ""


class StoreSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[platform]``: the platform's store and fallback boxes."""

    store: str
    seeds: str = ""


class LossesSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[losses]``: number of simultaneous losses to tolerate."""

    holders: int = 1


class ConfigurationSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[configuration]``: time limits for applying changes at every box.

    Attributes
    ----------
    apply_ms : float
        From the store's confirmation of a configuration until it is active.
    leave_ms : float
        From the store's confirmation that a target is draining until it receives
        no new calls.
    """

    apply_ms: float = 2000.0
    leave_ms: float = 2000.0


class KeysSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[keys]``: time limit for revoking API keys.

    Attributes
    ----------
    revoke_ms : float
        Time until every box rejects a revoked key; 0 sets no limit.
    """

    revoke_ms: float = 0.0


class QuotasSection(QuotaTolerance, frozen=True, forbid_unknown_fields=True):
    """``[quotas]``: tolerance of workspace limits."""


class StopSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[stop]``: how long a planned stop may take before the process is killed."""

    grace_seconds: float = 8.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Every setting of one box.

    Attributes
    ----------
    contracts : dict of str to bool
        ``[contracts]``: what the platform expects of this deployment, by its names.
    """

    box: NodeSection
    platform: StoreSection
    listen: ListenSection = ListenSection()
    losses: LossesSection = LossesSection()
    configuration: ConfigurationSection = ConfigurationSection()
    keys: KeysSection = KeysSection()
    quotas: QuotasSection = QuotasSection()
    stop: StopSection = StopSection()
    fair_share: FairShareSection = FairShareSection()
    placement: PlacementSection = PlacementSection()
    waiting: WaitingSection = WaitingSection()
    streams: StreamsSection = StreamsSection()
    pressure: PressureSection = PressureSection()
    answers: AnswersSection = AnswersSection()
    contracts: dict[str, bool] = {}

    @property
    def known_seconds(self) -> float:
        """Time limit for learning of any change in the store."""
        return min(self.configuration.apply_ms, self.configuration.leave_ms) / 1000

    @property
    def is_contended(self) -> bool:
        """Whether the contracts say that callers compete for too little room."""
        return calls_for_bounded_load(self.contracts)

    @property
    def peers(self) -> Address:
        """The address for connections of other boxes."""
        return Address(self.box.ip, self.box.peer_port)

    @property
    def seeds(self) -> list[Address]:
        """Boxes that provide the configuration when the store is unavailable."""
        words = (word.strip() for word in self.platform.seeds.split(","))
        return [Address.parse(word) for word in words if word]


def load_node_settings(file: str) -> NodeSettings:
    """Return the settings in `file`.

    Raises
    ------
    IniError
        When the file cannot be read, or a section, key or value is wrong.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise IniError(file, [f"cannot be read: {error}"]) from None
    return parse_node_settings(text, file)


def parse_node_settings(text: str, file: str) -> NodeSettings:
    """Return the settings in `text`; `file` is used in errors."""
    sections = parse_sections(text, file)
    try:
        settings = msgspec.convert(sections, NodeSettings, strict=False)
    except msgspec.ValidationError as error:
        raise IniError(file, [str(error)]) from None
    faults = find_faults(settings)
    if faults:
        raise IniError(file, faults)
    return apply_contracts(settings)


def apply_contracts(settings: NodeSettings) -> NodeSettings:
    """Return the settings with each open switch as the contracts call for it."""
    is_on = calls_for_bounded_load(settings.contracts)
    share, waiting = settings.fair_share, settings.waiting
    streams = settings.streams
    return replace(
        settings,
        fair_share=replace(share, whole_programs=pick(share.whole_programs, is_on)),
        waiting=replace(waiting, in_order=pick(waiting.in_order, is_on)),
        streams=replace(streams, resume=pick(streams.resume, is_on)),
    )


def pick(value: ValueT | None, default: ValueT) -> ValueT:
    """Return a value, or its default if it is not set."""
    return default if value is None else value


def find_faults(settings: NodeSettings) -> list[str]:
    """Return the faults that involve more than the type of one key."""
    faults = []
    addresses = {
        "[platform] store": settings.platform.store,
        "[listen] callers": settings.listen.callers,
        "[listen] ready": settings.listen.ready,
        "[listen] directory": settings.listen.directory,
        "[listen] exchange": settings.listen.exchange,
        "[listen] metrics": settings.listen.metrics,
    }
    for place, address in addresses.items():
        try:
            if address:
                Address.parse(address)
        except ValueError as error:
            faults.append(f"{place}: {error}")
    if settings.box.role is Role.ENTRY and not settings.listen.callers:
        faults.append("[listen] callers: missing; an entry box serves callers")
    if settings.box.role is Role.HOLDER and not settings.box.data_folder:
        faults.append("[box] data_folder: missing; a holder keeps records there")
    if settings.losses.holders < 0:
        faults.append("[losses] holders: must not be negative")
    if settings.known_seconds <= 0:
        faults.append("[configuration] apply_ms, leave_ms: must be more than nothing")
    if settings.keys.revoke_ms < 0:
        faults.append("[keys] revoke_ms: must not be negative")
    if settings.quotas.window_seconds <= 0:
        faults.append("[quotas] window_seconds: must be more than nothing")
    if settings.quotas.overrun < 0 or settings.quotas.slack < 0:
        faults.append("[quotas] overrun, slack: must not be negative")
    if settings.waiting.max_calls < 1:
        faults.append("[waiting] max_calls: must be at least 1")
    answers = settings.answers
    if min(answers.max_head_kb, answers.max_event_kb, answers.max_held_kb) < 1:
        faults.append("[answers] max_head_kb, max_event_kb, max_held_kb: at least 1")
    if min(answers.max_body_mb, answers.max_total_mb) < 1:
        faults.append("[answers] max_body_mb, max_total_mb: must be at least 1")
    if not 0 < settings.box.memory_mb < float("inf"):
        faults.append("[box] memory_mb: must be more than nothing")
    if settings.box.max_descriptors < 0:
        faults.append("[box] max_descriptors: must not be negative")
    if not 0 <= (settings.pressure.max_held_mb or 0.0) < float("inf"):
        faults.append("[pressure] max_held_mb: must be a number that is not negative")
    return faults
