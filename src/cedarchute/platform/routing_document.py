"""Decodes the operators' configuration and the entries of targets."""

from __future__ import annotations

import msgspec

from cedarchute.address import Address
from cedarchute.relay.input_limits import InputLimits
from cedarchute.routing.route import Repeatability, Route, ServiceShare
from cedarchute.routing.route_table import RouteTable
from cedarchute.routing.service import EngineTraits, Service
from cedarchute.routing.target_entry import TargetEntry

REPEATABILITY = {
    "idempotent": Repeatability.REPEATABLE,
    "non_idempotent": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}


class DocumentError(Exception):
    """A document of the platform that cannot be used."""

    code = "bad_document"


class _Wire(msgspec.Struct, frozen=True, rename="pascal"):
    """A document whose field names are capitalised on the wire."""


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
    # Whether the system keeps what was said, so that turns bring only what is new.
    retained: bool = False
    retention_s: float = 0


class _Engine(_Wire):
    slots: int
    kv_capacity: int
    chunk_tokens: int = 1


class _Service(_Wire):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(_Wire):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(_Wire):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits


class _Target(_Wire):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_left_ms: float = 0


def read_route_table(text: str) -> RouteTable:
    """Return the configuration in `text`.

    Raises
    ------
    DocumentError
        When it is not one.
    """
    try:
        document = msgspec.json.decode(text, type=_Configuration)
        routes = tuple(_read_route(route) for route in document.routes)
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise DocumentError(f"configuration: {error}") from error
    limits = InputLimits(
        header_bytes=document.limits.max_header_bytes,
        body_bytes=document.limits.max_body_bytes,
        header_seconds=document.limits.header_timeout_ms / 1000,
        idle_seconds=document.limits.idle_timeout_ms / 1000,
    )
    services = {s.name: _read_service(s) for s in document.services}
    return RouteTable(document.version, routes, services, limits, text)


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
        keeps_turns=route.retained,
        keep_seconds=route.retention_s,
    )


def _read_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineTraits(
            slots=service.engine.slots,
            cache_tokens=service.engine.kv_capacity,
            event_tokens=service.engine.chunk_tokens,
        )
    return Service(service.name, service.max_conns, engine)


def read_target(target_id: str, text: str) -> TargetEntry:
    """Return the target described by `text`.

    Raises
    ------
    DocumentError
        When it describes none.
    """
    try:
        document = msgspec.json.decode(text, type=_Target)
        address = Address.parse(document.address)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DocumentError(f"target {target_id}: {error}") from error
    return TargetEntry(
        id=target_id,
        service=document.service,
        address=address,
        failure_domain=document.zone,
        ready=document.state == "ready",
        slots=document.slots,
        cold_seconds=document.cold_left_ms / 1000,
    )
