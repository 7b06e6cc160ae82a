"""Brings engines to the model and version that the accepted file names."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING, Final

import eventlet

from cedarchute.membership.rank import rank
from cedarchute.operators.site_file import ServiceKind
from cedarchute.platform.store_client import StoreUnavailableError
from cedarchute.targets.orders.order_term import OrderTerm
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

TERM_SECONDS: Final = 10.0
STOP_EARLY_SECONDS: Final = 4.0


class EngineReconciler:
    """Compares what engines serve with what they should, and orders the rest.

    Only `loads_at_once` boxes order, each one target at a time: that bounds what
    the weight store has to give, without asking anyone. A term lasts `TERM_SECONDS`
    from before its compare-and-swap; its holder stops `STOP_EARLY_SECONDS` before
    the end, which covers pauses and clock rates, because not every target checks
    the fence. Another box takes the next term only after it has seen the same one
    in the store for the whole time.
    """

    def __init__(
        self,
        store: StoreClient,
        keys: StoreKeys,
        view: View,
        keeper: LeaseKeeper,
        configuration: Configuration,
        engines: EngineClient,
        seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.keys = keys
        self.view = view
        self.keeper = keeper
        self.configuration = configuration
        self.engines = engines
        self.seconds = seconds
        self.clock = clock
        self.metrics = metrics
        self.seen: dict[str, tuple[str, float]] = {}
        self.operations = itertools.count(1)

    def order_forever(self) -> None:
        """Look after this box's share of the targets in each period."""
        while True:
            eventlet.sleep(self.seconds)
            site = self.configuration.site
            if site is None:
                continue
            ordering = self.find_ordering(site.site.loads_at_once)
            if self.keeper.record.name not in ordering:
                continue
            for name, target in site.targets.items():
                service = site.services[target.service]
                if service.kind is ServiceKind.MODEL and self.is_mine(name, ordering):
                    self.look_after(name, target, service)

    def find_ordering(self, count: int) -> list[str]:
        """Return the boxes that order; every box computes the same ones."""
        names = [box.name for box in self.view.entries]
        return sorted(names, key=lambda name: rank("orders", name))[:count]

    def is_mine(self, target: str, ordering: list[str]) -> bool:
        """Return whether this box orders `target`, of those that order."""
        chosen = max(ordering, key=lambda name: rank(name, target))
        return chosen == self.keeper.record.name

    def look_after(
        self, name: str, target: TargetSection, service: ServiceSection
    ) -> None:
        """Order one target if it does not serve what it should."""
        wanted = {
            "model": service.model,
            "version": service.version or "",
            "adapters": sorted(service.adapters),
        }
        try:
            if self.is_right(target, wanted):
                return
            self.order(name, target, wanted)
        except TargetError as error:
            self.metrics.count_retry("order")
            log.info("Order to %s: %s.", name, error)
        except StoreUnavailableError:
            self.metrics.count_retry("order_store")

    def is_right(self, target: TargetSection, wanted: dict[str, object]) -> bool:
        """Return whether a target serves what it should."""
        state = self.engines.read_state(target.address)
        return all(state.get(key) == value for key, value in wanted.items())

    def order(
        self, name: str, target: TargetSection, wanted: dict[str, object]
    ) -> None:
        """Take a term and give one order within it."""
        started = self.clock.monotonic()
        term = self.take_term(name)
        if term is None:
            return
        # The state is read again within the term: an earlier holder's order may
        # have arrived meanwhile.
        if self.is_right(target, wanted):
            return
        if self.clock.monotonic() - started > TERM_SECONDS - STOP_EARLY_SECONDS:
            self.metrics.count_refusal("order_term_over")
            return
        self.engines.send_command(target.address, {**wanted, "fence": term.fence})
        self.metrics.count("orders.given")
        log.info("Ordered %s to serve %s under %d.", name, wanted, term.fence)

    def take_term(self, target: str) -> OrderTerm | None:
        """Take the next term for a target, if the last one is surely over."""
        key = self.keys.order(target)
        entry = self.store.get(key)
        last = OrderTerm.model_validate_json(entry.value) if entry else None
        if last is not None and not self.is_over(last):
            return None
        term = OrderTerm(
            target=target,
            holder=self.keeper.record.identity,
            fence=(last.fence if last else 0) + 1,
            operation=f"{self.keeper.record.identity}/{next(self.operations)}",
        )
        result = self.store.swap(key, term.to_json(), entry.version if entry else 0)
        return term if result.won else None

    def is_over(self, term: OrderTerm) -> bool:
        """Return whether the holder of a term has stopped using it."""
        if term.holder == self.keeper.record.identity:
            return True
        now = self.clock.monotonic()
        operation, since = self.seen.get(term.target, ("", now))
        if operation != term.operation:
            self.seen[term.target] = (term.operation, now)
            return False
        return now - since > TERM_SECONDS
