"""Handles calls whose response is an event stream: program turns and single calls."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.shutdown_deadline import make_shutdown_refusal
from cedarchute.calls.turn_relay import TurnRelay
from cedarchute.pressure.held_amount import HeldAmount
from cedarchute.pressure.held_bytes import FULL_RETRY_SECONDS, HeldCause
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.turns.chain_reader import ChainLoopError, NoSuchTurnError
from cedarchute.turns.holder_fanout import NoQuorumError
from cedarchute.turns.turn_admission import TurnAdmission
from cedarchute.turns.turn_quorum import FINISH_SECONDS, BudgetSpentError
from cedarchute.turns.turn_terms import TurnTerms

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.program_admission_controller import ProgramAdmissionController
    from cedarchute.calls.target_client import TargetClient
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.turns.turn_quorum import TurnQuorum

log = logging.getLogger("cedarchute.calls")

RETRY_AFTER_SECONDS = 0.25
# The text of the turns before, and the request that begins with it.
HISTORY_COPIES = 2
# A history of this size is let in also at the bound on held bytes.
SMALL_HISTORY_BYTES = 65_536


class StreamCallHandler:
    """Relays streams, stores turns and enforces token budgets.

    A call with a budget is accounted for at the holders of its program even on routes
    that store no turns; the holders then record its token count but no text.

    Attributes
    ----------
    resumes_streams : bool
        Whether broken streams go on at another target where their route allows it.
    """

    def __init__(
        self,
        target_client: TargetClient,
        quorum: TurnQuorum,
        routes: ActiveRouteTable,
        admission_controller: ProgramAdmissionController,
        metrics: Metrics,
        resumes_streams: bool = False,
    ) -> None:
        self.resumes_streams = resumes_streams
        self.admission_controller = admission_controller
        self.target_client = target_client
        self.quorum = quorum
        self.routes = routes
        self.metrics = metrics

    def run(
        self, request: CallerRequest, writer: ReplyWriter, call: Call, route: Route
    ) -> None:
        """Relay one call; raise `CallRefusedError` if it is rejected or fails."""
        service = self.target_client.load_balancer.select_service(route)
        is_accounted = route.retains_turns or call.program.budget is not None
        try:
            self.admission_controller.check(call, route, service)
            admission = (
                self.admit(request, call, route)
                if is_accounted
                else TurnAdmission(b"", "")
            )
        except ShutdownError:
            if is_accounted:
                self.quorum.cancel_reservation(call.program_key, call.id)
            raise make_shutdown_refusal() from None
        with HeldAmount(self.target_client.held, HeldCause.HISTORY) as history:
            self.count_history(call, admission, history)
            self.relay_turn(request, writer, call, route, service, admission)

    def count_history(
        self, call: Call, admission: TurnAdmission, history: HeldAmount
    ) -> None:
        """Count the text that a turn continues, and its copy in the request.

        Raises
        ------
        CallRefusedError
            When there is no room for it; the turn has not run.
        """
        count = HISTORY_COPIES * len(admission.text)
        if count > SMALL_HISTORY_BYTES and not self.target_client.held.has_room(count):
            self.metrics.count_refusal("held_history")
            self.quorum.cancel_reservation(call.program_key, call.id)
            reason = "no room for the turns before"
            raise CallRefusedError(503, reason, FULL_RETRY_SECONDS)
        history.grow(count)

    def relay_turn(
        self,
        request: CallerRequest,
        writer: ReplyWriter,
        call: Call,
        route: Route,
        service: str,
        admission: TurnAdmission,
    ) -> None:
        """Relay the response of an admitted turn; settle one that is not stored."""
        is_accounted = route.retains_turns or call.program.budget is not None
        relay = TurnRelay(self, request, writer, call, route, service, admission)
        try:
            relay.run()
            self.record_turn_end(relay, admission)
        finally:
            relay.kept.release()
            if is_accounted and not relay.is_stored:
                self.quorum.settle(call.program_key, call.id, relay.tokens)

    def record_turn_end(self, relay: TurnRelay, admission: TurnAdmission) -> None:
        """Report to admission control how much of the program's time was used."""
        call = relay.call
        age = admission.age_seconds
        if (
            age is None
            or call.program.soft_deadline_seconds is None
            or not relay.tokens
        ):
            return
        elapsed = time.monotonic() - relay.request.read_at
        seconds_left = max(0.0, call.program.soft_deadline_seconds - elapsed)
        self.admission_controller.record_turn_end(
            relay.route, relay.service, age + elapsed, seconds_left
        )

    def admit(self, request: CallerRequest, call: Call, route: Route) -> TurnAdmission:
        """Reserve the turn's tokens and read the turns that it continues."""
        context = call.program
        if not context.program:
            raise CallRefusedError(400, "a turn or a budget names its program")
        try:
            admission = self.quorum.begin(
                call.program_key,
                call.id,
                context.max_tokens,
                context.previous_turn,
                context.budget,
                make_terms(request, call, route),
            )
        except NoQuorumError as error:
            self.metrics.count_refusal("no_quorum")
            raise CallRefusedError(503, str(error), RETRY_AFTER_SECONDS) from None
        except NoSuchTurnError as error:
            self.metrics.count_refusal("no_such_turn")
            raise CallRefusedError(404, str(error)) from None
        except ChainLoopError as error:
            self.metrics.count_refusal("chain_loop")
            raise CallRefusedError(409, str(error)) from None
        except BudgetSpentError as error:
            self.metrics.count_refusal("budget_spent")
            raise CallRefusedError(402, str(error)) from None
        log.info(
            "Turn admitted.",
            extra={
                "program": context.program,
                "previous": context.previous_turn,
                "bytes_before": len(admission.text),
                "ran_before_at": admission.target,
                "reserved": context.max_tokens,
                "budget": context.budget,
                "seats_version": self.quorum.seats.table.version,
            },
        )
        return admission

    def find_event_tokens(self, service: str) -> int:
        """Return the number of tokens in one event of a service."""
        table = self.routes.table
        found = table.services.get(service) if table else None
        return found.engine.event_tokens if found and found.engine else 1


def make_terms(request: CallerRequest, call: Call, route: Route) -> TurnTerms:
    """Return what holders are told of a turn."""
    deadline = request.read_at + call.find_timeout(route)
    seconds_left = max(0.0, deadline - time.monotonic())
    open_seconds = seconds_left + FINISH_SECONDS
    input_bytes = len(request.body) if route.retains_turns else 0
    return TurnTerms(open_seconds, route.retention_seconds, input_bytes)
