"""Finds this box's share of the connections of a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.fleet.box_entry import Role
from cedarchute.pressure.connection_shares import compute_connection_share

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.fleet.box_directory import BoxDirectory
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.service import Service
    from cedarchute.routing.target_registry import TargetRegistry


class ConnectionShareFinder:
    """Follows the configuration and the directory: shares change as boxes come and go.

    Looks through targets and boxes only when a connection is opened or given back.
    """

    def __init__(
        self,
        routes: ActiveRouteTable,
        registry: TargetRegistry,
        directory: BoxDirectory,
    ) -> None:
        self.routes = routes
        self.registry = registry
        self.directory = directory

    def find(self, address: Address) -> int | None:
        """Return the share at `address`; None if its service has no bound."""
        service = self.find_service(address)
        if service is None or service.max_connections <= 0:
            return None
        boxes = len(self.directory.list_boxes(Role.ENTRY))
        return compute_connection_share(service.max_connections, boxes)

    def find_service(self, address: Address) -> Service | None:
        """Return the service of the target at `address`, if any."""
        table = self.routes.table
        if table is None:
            return None
        for entry in self.registry.known.entries.values():
            if entry.address == address:
                return table.services.get(entry.service)
        return None
