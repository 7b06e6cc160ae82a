"""Asks the engines for their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from cedarchute.operators.site_file import ServiceKind
from cedarchute.targets.target_error import TargetError

if TYPE_CHECKING:
    import random

    from cedarchute.operators.configuration import Configuration
    from cedarchute.scheduling.target_directory import TargetDirectory
    from cedarchute.scheduling.target_state import TargetState
    from cedarchute.targets.engine_client import EngineClient


class LoadPoller:
    """One task that starts a poll of each engine in each period."""

    def __init__(
        self,
        book: TargetDirectory,
        configuration: Configuration,
        client: EngineClient,
        seconds: float,
        random_source: random.Random,
    ) -> None:
        self.book = book
        self.configuration = configuration
        self.client = client
        self.seconds = seconds
        self.random_source = random_source

    def poll_forever(self) -> None:
        """Poll in each period, spread by chance."""
        while True:
            for target in list(self.book.targets.values()):
                if self.is_engine(target):
                    eventlet.spawn_n(self.poll, target)
            eventlet.sleep(self.seconds * self.random_source.uniform(0.8, 1.2))

    def is_engine(self, target: TargetState) -> bool:
        """Return whether the target is a model engine."""
        site = self.configuration.site
        service = site.services.get(target.section.service) if site else None
        return service is not None and service.kind is ServiceKind.MODEL

    def poll(self, target: TargetState) -> None:
        """Take in one report, if the engine answers."""
        try:
            report = self.client.read_load(target.section.address)
        except TargetError:
            return
        self.book.on_report(target, report)
