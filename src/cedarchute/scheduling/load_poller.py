"""Periodic polling of the engines for load reports."""

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
    """Starts one poll of every engine per interval."""

    def __init__(
        self,
        directory: TargetDirectory,
        configuration: Configuration,
        client: EngineClient,
        interval_seconds: float,
        random_source: random.Random,
    ) -> None:
        self.directory = directory
        self.configuration = configuration
        self.client = client
        self.interval_seconds = interval_seconds
        self.random_source = random_source

    def poll_forever(self) -> None:
        """Poll all engines until the process ends, with jitter on the interval."""
        while True:
            for target in list(self.directory.targets.values()):
                if self.is_engine(target):
                    eventlet.spawn_n(self.poll, target)
            eventlet.sleep(self.interval_seconds * self.random_source.uniform(0.8, 1.2))

    def is_engine(self, target: TargetState) -> bool:
        """Return whether the target is a model engine."""
        site = self.configuration.site
        service = site.services.get(target.section.service) if site else None
        return service is not None and service.kind is ServiceKind.MODEL

    def poll(self, target: TargetState) -> None:
        """Fetch one load report; skip an engine that does not answer."""
        try:
            report = self.client.read_load(target.section.address)
        except TargetError:
            return
        self.directory.on_report(target, report)
