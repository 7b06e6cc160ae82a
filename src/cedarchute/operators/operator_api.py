"""Answers operators: apply a file, see whether it is in force, look around."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from cedarchute.border.web_app import make_json_response, make_message_response
from cedarchute.operators.applier import ApplyRequest
from cedarchute.operators.status import (
    BoxStatus,
    BoxStatusRequest,
    OperatorsFile,
    SiteStatus,
    TargetStatus,
)
from cedarchute.peers.peer_client import PeerError
from cedarchute.scheduling.target_directory import is_draining

if TYPE_CHECKING:
    from werkzeug.wrappers import Request, Response

    from cedarchute.copies.replicator import Replicator
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.operators.applier import Applier
    from cedarchute.operators.configuration import Configuration
    from cedarchute.peers.peer_app import PeerApp
    from cedarchute.peers.peer_client import PeerClient
    from cedarchute.programs.call_runner import CallRunner
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.scheduling.target_directory import TargetDirectory
    from cedarchute.scheduling.target_state import TargetState


class OperatorApi:
    """The operators' routes, on the address that only boxes and operators reach.

    Whether a file is in force everywhere is asked of the boxes when an operator
    wants to know; nothing is written to the store for it.
    """

    def __init__(
        self,
        applier: Applier,
        configuration: Configuration,
        view: View,
        keeper: LeaseKeeper,
        client: PeerClient,
        home: ProgramRegistry,
        runner: CallRunner,
        replicator: Replicator,
        book: TargetDirectory,
        metrics: Metrics,
    ) -> None:
        self.applier = applier
        self.configuration = configuration
        self.view = view
        self.keeper = keeper
        self.client = client
        self.home = home
        self.runner = runner
        self.replicator = replicator
        self.book = book
        self.metrics = metrics

    def register(self, app: PeerApp) -> None:
        """Add the routes to `app`."""
        app.add("GET", "/operators/file", self.on_file)
        app.add("PUT", "/operators/file", self.on_apply)
        app.add("GET", "/operators/status", self.on_status)
        app.add("GET", "/operators/targets", self.on_targets)
        app.add_message("status", BoxStatusRequest, self.on_box_status)
        self.app = app

    def on_file(self, request: Request) -> Response:
        """Give the accepted file."""
        del request
        accepted = self.configuration.accepted
        if accepted is None:
            return make_message_response(
                OperatorsFile(revision=0, operator="", text="")
            )
        return make_message_response(
            OperatorsFile(
                revision=accepted.revision,
                operator=accepted.operator,
                text=accepted.text,
            )
        )

    def on_apply(self, request: Request) -> Response:
        """Apply a file."""
        message = self.app.read_message(request, ApplyRequest)
        return make_message_response(self.applier.apply(message))

    def on_status(self, request: Request) -> Response:
        """Ask every box how it is."""
        del request
        boxes = [*self.view.boxes.values()]
        pool = eventlet.GreenPool(64)
        statuses = list(pool.imap(self.ask_box, boxes))
        answered = tuple(status for status in statuses if status is not None)
        silent = tuple(
            box.name
            for box, status in zip(boxes, statuses, strict=True)
            if status is None
        )
        accepted = self.configuration.accepted
        revision = max([self.configuration.revision, *(s.revision for s in answered)])
        return make_message_response(
            SiteStatus(
                accepted=revision,
                operator=accepted.operator if accepted else "",
                digest=accepted.digest if accepted else "",
                in_force=not silent and all(s.revision >= revision for s in answered),
                boxes=tuple(sorted(answered, key=lambda status: status.name)),
                silent=silent,
            )
        )

    def ask_box(self, box: BoxRecord) -> BoxStatus | None:
        """Return how a box is, or None when it does not answer."""
        if box.name == self.keeper.record.name:
            return self.on_box_status(BoxStatusRequest())
        try:
            return self.client.send(
                box.peer_address, "status", BoxStatusRequest(), BoxStatus
            )
        except PeerError:
            return None

    def on_box_status(self, message: BoxStatusRequest) -> BoxStatus:
        """Say how this box is."""
        del message
        record = self.keeper.record
        return BoxStatus(
            name=record.name,
            identity=record.identity,
            failure_domain=record.failure_domain,
            caller_address=str(record.caller_address),
            state=record.state.value,
            revision=self.configuration.revision,
            programs=len(self.home.programs),
            calls_in_progress=self.runner.active_call_count,
            partitions=len(self.replicator.partitions),
            copies=sum(1 for _ in self.replicator.local.held_programs),
            counters=dict(self.metrics.totals),
        )

    def on_targets(self, request: Request) -> Response:
        """Say how the targets look from this box."""
        del request
        targets = [describe_target(t).model_dump() for t in self.book.targets.values()]
        return make_json_response({"targets": targets})


def describe_target(target: TargetState) -> TargetStatus:
    """Return how a target looks from this box."""
    report = target.report
    return TargetStatus(
        name=target.name,
        service=target.section.service,
        address=str(target.section.address),
        failure_domain=target.section.failure_domain,
        state="leaving" if is_draining(target) else "serving",
        in_flight=target.in_flight,
        running=report.running if report else None,
        waiting=report.waiting if report else None,
        failing=target.failures > 0,
        version=report.version if report else "",
    )
