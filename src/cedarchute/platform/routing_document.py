"""Decodes the operators' configuration and the entries of targets."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Final, Literal

import msgspec

from cedarchute.address import Address
from cedarchute.relay.input_limits import InputLimits
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.route_table import RouteTable
from cedarchute.routing.service import EngineTraits, Service
from cedarchute.routing.target_entry import TargetEntry
from cedarchute.routing.workspace import Workspace
from cedarchute.routing.workspace_keys import WorkspaceKeys

REPEATABILITY = {
    "idempotent": Repeatability.REPEATABLE,
    "non_idempotent": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}


class DocumentError(Exception):
    """A configuration or target entry is invalid."""

    code = "bad_document"


class _Wire(msgspec.Struct, frozen=True, rename="pascal"):
    """Base of documents whose field names are in Pascal case on the wire."""


class _Share(_Wire):
    service: str
    weight: float


class _Route(_Wire):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    slo_ms: float = 0
    priority: int = 0
    service: str | None = None
    split: tuple[_Share, ...] = ()
    max_attempts: int = 1
    # Whether boxes store the turns, so that callers send only the new ones.
    retained: bool = False
    retention_s: float = 0
    # Whether calls are accepted without an API key.
    public: bool = False
    resumable: bool = False


class _Engine(_Wire):
    slots: int
    kv_capacity: int
    chunk_tokens: int = 1


class _Service(_Wire):
    name: str
    max_conns: int = 100
    health_path: str | None = None
    engine: _Engine | None = None


class _Limits(_Wire):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(_Wire):
    """A workspace."""

    name: Annotated[str, msgspec.Meta(min_length=1, pattern="^[!-~]+$")]
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    # Calls per second over all boxes; None or 0 means no limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] | None = None
    burst: Annotated[float, msgspec.Meta(ge=0)] | None = None


class _Configuration(_Wire):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    # None: calls need no API key. An empty list: every key is rejected.
    tenants: tuple[_Tenant, ...] | None = None


# Concurrent requests of one target. The limit keeps an entry with an inflated number
# from attracting all calls.
MAX_SLOTS: Final = 100_000
# Targets warm up within minutes.
MAX_WARMUP_MS: Final = 3_600_000
# Every box reads each entry; valid ones take some hundred bytes.
MAX_TARGET_BYTES: Final = 65_536


class _Target(_Wire):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)] = 0
    # Unix ms of the target's start; the only lower-case name on the wire.
    born: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = msgspec.field(
        name="born", default=0
    )


def read_route_table(text: str) -> RouteTable:
    """Return the configuration in `text`.

    Raises
    ------
    DocumentError
        When the configuration is invalid.
    """
    try:
        document = msgspec.json.decode(text, type=_Configuration)
        routes = tuple(_read_route(route) for route in document.routes)
        keys = _read_keys(document.tenants)
    except (msgspec.MsgspecError, KeyError, RecursionError, ValueError) as error:
        raise DocumentError(f"configuration: {error}") from error
    limits = InputLimits(
        header_bytes=document.limits.max_header_bytes,
        body_bytes=document.limits.max_body_bytes,
        header_seconds=document.limits.header_timeout_ms / 1000,
        idle_seconds=document.limits.idle_timeout_ms / 1000,
    )
    services = {s.name: _read_service(s) for s in document.services}
    return RouteTable(document.version, routes, services, limits, keys)


def _read_keys(tenants: tuple[_Tenant, ...] | None) -> WorkspaceKeys | None:
    if tenants is None:
        return None
    return WorkspaceKeys((_read_workspace(t), t.api_keys) for t in tenants)


def _read_workspace(tenant: _Tenant) -> Workspace:
    return Workspace(
        name=tenant.name,
        rank=tenant.priority,
        calls_per_second=tenant.rate_per_s or 0.0,
        burst=tenant.burst or 0.0,
    )


def _read_route(route: _Route) -> Route:
    shares = [ServiceShare(s.service, s.weight) for s in route.split]
    if route.service is not None:
        shares = [ServiceShare(route.service, 1)]
    if not shares:
        raise ValueError(f"route {route.name} leads to no service")
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix.encode(),
        repeatability=REPEATABILITY[route.type],
        shares=tuple(shares),
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.slo_ms / 1000,
        rank=route.priority,
        max_targets=route.max_attempts,
        retains_turns=route.retained,
        retention_seconds=route.retention_s,
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _read_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineTraits(
            slots=service.engine.slots,
            cache_tokens=service.engine.kv_capacity,
            event_tokens=service.engine.chunk_tokens,
        )
    path = service.health_path or ""
    if not path.startswith("/") or not all("!" <= letter <= "~" for letter in path):
        path = ""
    return Service(service.name, service.max_conns, engine, path)


def read_target(target_id: str, text: str) -> TargetEntry:
    """Return the target described by `text`.

    Raises
    ------
    DocumentError
        When the entry or its id is invalid.
    """
    try:
        check_target_id(target_id)
        if len(text) > MAX_TARGET_BYTES:
            raise ValueError(f"{len(text)} characters are too many")
        document = msgspec.json.decode(text, type=_Target)
        address = parse_target_address(document.address)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise DocumentError(f"target {target_id!r}: {error}") from error
    return TargetEntry(
        id=target_id,
        service=document.service,
        address=address,
        failure_domain=document.zone,
        ready=document.state == "ready",
        slots=document.slots,
        warmup_seconds=document.cold_left_ms / 1000,
        started_at_ms=document.born,
    )


def check_target_id(target_id: str) -> None:
    """Raise ValueError unless an id is valid as a header value."""
    if not target_id or not all("!" <= letter <= "~" for letter in target_id):
        raise ValueError("its id is no visible ASCII text")


def parse_target_address(text: str) -> Address:
    """Return the address in `text`; raise ValueError unless it is unicast."""
    address = Address.parse(text)
    number = ipaddress.ip_address(address.host.strip("[]"))
    if number.is_unspecified or number.is_multicast:
        raise ValueError(f"{text} is not the address of one machine")
    return address
