"""Compares what engines hold with the programs that live."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import eventlet

from cedarchute.message import Message
from cedarchute.operators.site_file import ServiceKind
from cedarchute.peers.peer_client import PeerError
from cedarchute.problem import Problem
from cedarchute.programs.program_id import parse_partition
from cedarchute.scheduling.pinned_prefix_key import (
    is_pinned_prefix_expired,
    is_pinned_prefix_key,
)
from cedarchute.targets.target_error import TargetError

if TYPE_CHECKING:
    from cedarchute.clock import Clock
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.operators.configuration import Configuration
    from cedarchute.operators.site_file import TargetSection
    from cedarchute.peers.peer_client import PeerClient
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.targets.engine_client import EngineClient

log = logging.getLogger("cedarchute.release")


class LiveProgramsRequest(Message):
    """Asks a program's home which of some programs still need their cache."""

    partition: str
    programs: tuple[str, ...]


class LivesReply(Message):
    """The programs that do; `known` is false when the box cannot tell."""

    known: bool
    living: tuple[str, ...] = ()


class CacheSweeper:
    """Releases what no living program needs; one box sweeps each engine.

    Every engine of the accepted file has its turn, also those that the box that
    sweeps it sends no work to.

    This finds what the confirmed releases miss: a program whose records were lost
    or an engine that started work after its release.
    """

    def __init__(
        self,
        box: str,
        view: View,
        home: ProgramRegistry,
        configuration: Configuration,
        engines: EngineClient,
        client: PeerClient,
        seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.box = box
        self.view = view
        self.home = home
        self.configuration = configuration
        self.engines = engines
        self.client = client
        self.seconds = seconds
        self.clock = clock
        self.metrics = metrics

    def sweep_forever(self) -> None:
        """Sweep in each period."""
        while True:
            eventlet.sleep(self.seconds)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Sweep this box's share of the engines."""
        site = self.configuration.site
        if site is None:
            return
        for name, target in site.targets.items():
            is_engine = site.services[target.service].kind is ServiceKind.MODEL
            ring = self.view.ring_of(target.region)
            if is_engine and ring.find_owner(name) == self.box:
                self.sweep(target)

    def sweep(self, target: TargetSection) -> None:
        """Release on one engine what no program needs."""
        try:
            held = self.engines.list_cached_programs(target.address)
        except TargetError:
            return
        by_partition: dict[str, list[str]] = {}
        now = self.clock.wall()
        for program in held:
            if is_pinned_prefix_key(program):
                if is_pinned_prefix_expired(program, now):
                    self.release(target, program)
                continue
            try:
                by_partition.setdefault(parse_partition(program), []).append(program)
            except Problem:
                continue
        for partition, programs in by_partition.items():
            living = self.ask_living(partition, programs)
            if living is None:
                continue
            for program in programs:
                if program not in living:
                    self.release(target, program)

    def release(self, target: TargetSection, program: str) -> None:
        """Release one program; the next sweep tries again if that fails."""
        try:
            self.engines.release(target.address, program)
            self.metrics.count("release.swept")
            log.info("Swept %s on %s.", program, target.address)
        except TargetError:
            self.metrics.count_retry("release_swept")

    def ask_living(self, partition: str, programs: list[str]) -> set[str] | None:
        """Return which programs live, or None when nobody can tell now."""
        record = self.view.partitions.get(partition)
        if record is None:
            return set() if self.view.is_replaced(partition) else None
        request = LiveProgramsRequest(partition=partition, programs=tuple(programs))
        owner = self.view.find_box(record.owner)
        if owner is None:
            return None
        try:
            if owner.name == self.box:
                reply = self.handle_live_programs(request)
            else:
                reply = self.client.send(
                    owner.peer_address, "lives", request, LivesReply
                )
        except PeerError:
            return None
        return set(reply.living) if reply.known else None

    def handle_live_programs(self, request: LiveProgramsRequest) -> LivesReply:
        """Say which programs need their cache."""
        partition = self.home.replicator.partitions.get(request.partition)
        if partition is None or partition.is_lost or partition.is_recovering:
            return LivesReply(known=False)
        living = []
        for program_id in request.programs:
            program = self.home.programs.get(program_id)
            if program is not None and program.ended is None:
                living.append(program_id)
        return LivesReply(known=True, living=tuple(living))
