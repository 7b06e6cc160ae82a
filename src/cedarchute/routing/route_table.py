"""The routing configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cedarchute.record import Record

if TYPE_CHECKING:
    from cedarchute.relay.input_limits import InputLimits
    from cedarchute.routing.route import Route
    from cedarchute.routing.service import Service
    from cedarchute.routing.workspace_keys import WorkspaceKeys


class RouteTable(Record):
    """All routes and services of one version of the configuration.

    Attributes
    ----------
    keys : WorkspaceKeys or None
        Keys by which calls are admitted; None where calls need no key.
    single_attempt_services : set of str
        Services with streams that may run at one target only.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: InputLimits
    keys: WorkspaceKeys | None = None
    by_host: dict[str, list[Route]] = msgspec.field(default_factory=dict)
    single_attempt_services: set[str] = msgspec.field(default_factory=set)

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self.by_host.setdefault(route.host.lower(), []).append(route)
            if route.is_stream and route.max_targets == 1:
                services = (share.service for share in route.shares)
                self.single_attempt_services.update(services)

    @property
    def has_single_attempt_streams(self) -> bool:
        """Whether some streams may run at one target only."""
        return bool(self.single_attempt_services)

    def find(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
