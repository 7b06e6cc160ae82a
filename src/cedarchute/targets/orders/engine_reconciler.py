"""Reconciles engines with the model and version that the accepted file names."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.membership.rank import rank
from cedarchute.operators.site_file import ServiceKind
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.targets.orders.command_lease import CommandLease
from cedarchute.targets.target_error import TargetError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.store_keys import StoreKeys
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.operators.site_file import ServiceSection, TargetSection
    from cedarchute.platform.store_client import StoreClient
    from cedarchute.targets.engine_client import EngineClient

log = logging.getLogger("cedarchute.orders")

LEASE_SECONDS: Final = 10.0
LEASE_MARGIN_SECONDS: Final = 4.0


class EngineReconciler:
    """Sends commands to engines that do not serve the desired model.

    Only `loads_at_once` boxes reconcile, each one target at a time, which bounds
    the load on the weight store without coordination. A lease lasts `LEASE_SECONDS`,
    counted from before its compare-and-swap. Not every target checks the fencing
    token, so the holder stops `LEASE_MARGIN_SECONDS` before the lease expires, to
    allow for pauses and clock drift. Another box acquires the next lease only
    after it has seen the same lease in the store for `LEASE_SECONDS`.
    """

    def __init__(
        self,
        store: StoreClient,
        keys: StoreKeys,
        view: View,
        keeper: LeaseKeeper,
        configuration: Configuration,
        engines: EngineClient,
        interval_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.keys = keys
        self.view = view
        self.keeper = keeper
        self.configuration = configuration
        self.engines = engines
        self.interval_seconds = interval_seconds
        self.clock = clock
        self.metrics = metrics
        self.observed_leases: dict[str, tuple[str, float]] = {}
        self.operations = itertools.count(1)

    def order_forever(self) -> None:
        """Reconcile this box's share of the targets in each interval."""
        while True:
            eventlet.sleep(self.interval_seconds)
            site = self.configuration.site
            if site is None:
                continue
            reconcilers = self.select_reconcilers(site.site.loads_at_once)
            if self.keeper.record.name not in reconcilers:
                continue
            for name, target in site.targets.items():
                service = site.services[target.service]
                if service.kind is ServiceKind.MODEL and self.is_assigned(
                    name, reconcilers
                ):
                    self.reconcile(name, target, service)

    def select_reconcilers(self, count: int) -> list[str]:
        """Return the boxes that reconcile; every box computes the same ones."""
        names = [box.name for box in self.view.entries]
        return sorted(names, key=lambda name: rank("orders", name))[:count]

    def is_assigned(self, target: str, reconcilers: list[str]) -> bool:
        """Return whether `target` is assigned to this box by rendezvous hashing."""
        chosen = max(reconcilers, key=lambda name: rank(name, target))
        return chosen == self.keeper.record.name

    def reconcile(
        self, name: str, target: TargetSection, service: ServiceSection
    ) -> None:
        """Send a command to one target if its state differs from the desired one."""
        desired = {
            "model": service.model,
            "version": service.version or "",
            "adapters": sorted(service.adapters),
        }
        try:
            if self.is_up_to_date(target, desired):
                return
            self.issue_command(name, target, desired)
        except TargetError as error:
            self.metrics.count_retry("order")
            log.info("Command to %s failed: %s.", name, error)
        except StoreUnavailableError:
            self.metrics.count_retry("order_store")

    def is_up_to_date(self, target: TargetSection, desired: dict[str, object]) -> bool:
        """Return whether the state of a target matches the desired one."""
        state = self.engines.read_state(target.address)
        return all(state.get(key) == value for key, value in desired.items())

    def issue_command(
        self, name: str, target: TargetSection, desired: dict[str, object]
    ) -> None:
        """Acquire a lease and send one command under it."""
        started = self.clock.monotonic()
        lease = self.acquire_lease(name)
        if lease is None:
            return
        # Read the state again under the lease: a command of the previous holder may
        # have been applied in the meantime.
        if self.is_up_to_date(target, desired):
            return
        if self.clock.monotonic() - started > LEASE_SECONDS - LEASE_MARGIN_SECONDS:
            self.metrics.count_refusal("order_term_over")
            return
        self.engines.send_command(target.address, {**desired, "fence": lease.fence})
        self.metrics.count("orders.given")
        log.info(
            "Sent %s the command to serve %s with fencing token %d.",
            name,
            desired,
            lease.fence,
        )

    def acquire_lease(self, target: str) -> CommandLease | None:
        """Acquire the next lease on a target; None if another box may hold it."""
        key = self.keys.order(target)
        entry = self.store.get(key)
        last = CommandLease.model_validate_json(entry.value) if entry else None
        if last is not None and not self.is_expired(last):
            return None
        lease = CommandLease(
            target=target,
            holder=self.keeper.record.identity,
            fence=(last.fence if last else 0) + 1,
            operation=f"{self.keeper.record.identity}/{next(self.operations)}",
        )
        result = self.store.swap(key, lease.to_json(), entry.version if entry else 0)
        return lease if result.won else None

    def is_expired(self, lease: CommandLease) -> bool:
        """Return whether a lease has expired, or is held by this box."""
        if lease.holder == self.keeper.record.identity:
            return True
        now = self.clock.monotonic()
        operation, since = self.observed_leases.get(lease.target, ("", now))
        if operation != lease.operation:
            self.observed_leases[lease.target] = (lease.operation, now)
            return False
        return now - since > LEASE_SECONDS
