"""Garbage collection of the caches that engines hold for programs."""

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
    """Asks the owner of a partition which of these programs are still open."""

    partition: str
    programs: tuple[str, ...]


class LiveProgramsReply(Message):
    """The open programs; `known` is false if the box has no state to answer from."""

    known: bool
    living: tuple[str, ...] = ()


class CacheSweeper:
    """Releases caches that belong to no open program.

    The ring assigns each engine of the accepted site file to one box, whether or not
    that box sends calls to it.

    The sweep covers what `CacheReleaser` misses: programs whose records were lost, and
    engines that processed a call after they had confirmed the release.
    """

    def __init__(
        self,
        box: str,
        view: View,
        registry: ProgramRegistry,
        configuration: Configuration,
        engines: EngineClient,
        peer_client: PeerClient,
        interval_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.box = box
        self.view = view
        self.registry = registry
        self.configuration = configuration
        self.engines = engines
        self.peer_client = peer_client
        self.interval_seconds = interval_seconds
        self.clock = clock
        self.metrics = metrics

    def sweep_forever(self) -> None:
        """Sweep periodically."""
        while True:
            eventlet.sleep(self.interval_seconds)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Sweep the engines that the ring assigns to this box."""
        site = self.configuration.site
        if site is None:
            return
        for name, target in site.targets.items():
            is_engine = site.services[target.service].kind is ServiceKind.MODEL
            ring = self.view.ring_of(target.region)
            if is_engine and ring.find_owner(name) == self.box:
                self.sweep(target)

    def sweep(self, target: TargetSection) -> None:
        """Release the orphaned caches of one engine."""
        try:
            cached_programs = self.engines.list_cached_programs(target.address)
        except TargetError:
            return
        by_partition: dict[str, list[str]] = {}
        now = self.clock.wall()
        for program in cached_programs:
            if is_pinned_prefix_key(program):
                if is_pinned_prefix_expired(program, now):
                    self.release(target, program)
                continue
            try:
                by_partition.setdefault(parse_partition(program), []).append(program)
            except Problem:
                continue
        for partition, programs in by_partition.items():
            open_programs = self.fetch_live_programs(partition, programs)
            if open_programs is None:
                continue
            for program in programs:
                if program not in open_programs:
                    self.release(target, program)

    def release(self, target: TargetSection, program: str) -> None:
        """Release the cache of one program; the next sweep retries a failure."""
        try:
            self.engines.release(target.address, program)
            self.metrics.count("release.swept")
            log.info("Released orphaned cache of %s on %s.", program, target.address)
        except TargetError:
            self.metrics.count_retry("release_swept")

    def fetch_live_programs(
        self, partition: str, programs: list[str]
    ) -> set[str] | None:
        """Return the open programs, or None when the owner cannot be asked."""
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
                reply = self.peer_client.send(
                    owner.peer_address, "lives", request, LiveProgramsReply
                )
        except PeerError:
            return None
        return set(reply.living) if reply.known else None

    def handle_live_programs(self, request: LiveProgramsRequest) -> LiveProgramsReply:
        """Answer which of the programs are open on this box."""
        partition = self.registry.replicator.partitions.get(request.partition)
        if partition is None or partition.is_lost or partition.is_recovering:
            return LiveProgramsReply(known=False)
        open_programs = []
        for program_id in request.programs:
            program = self.registry.programs.get(program_id)
            if program is not None and program.ended is None:
                open_programs.append(program_id)
        return LiveProgramsReply(known=True, living=tuple(open_programs))
