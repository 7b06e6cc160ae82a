"""Dispatches each request of a caller to the handler of its route."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from greenlet import GreenletExit
from msgspec.structs import replace

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.calls.call_progress import CallProgress
from cedarchute.calls.shutdown_deadline import STOPPING, make_shutdown_refusal
from cedarchute.platform.call_headers import (
    ANSWER_ID,
    read_call,
    read_program,
    write_refusal_headers,
)
from cedarchute.pressure.held_bytes import FULL_RETRY_SECONDS
from cedarchute.pressure.unbounded_bytes import UNBOUNDED
from cedarchute.relay.reply_writer import CallerDisconnectedError
from cedarchute.relay.request_error import RequestError
from cedarchute.relay.shutdown_error import ShutdownError
from cedarchute.request_ids import set_request_id

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.key_authenticator import KeyAuthenticator
    from cedarchute.calls.plain_call_handler import PlainCallHandler
    from cedarchute.calls.quota_check import QuotaCheck
    from cedarchute.calls.shutdown_deadline import ShutdownDeadline
    from cedarchute.calls.stream_call_handler import StreamCallHandler
    from cedarchute.metrics import Metrics
    from cedarchute.pressure.held_bytes import HeldBytes
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.active_route_table import ActiveRouteTable
    from cedarchute.routing.route import Route
    from cedarchute.routing.route_table import RouteTable

log = logging.getLogger("cedarchute.calls")

# How long a call waits for the first configuration after the start of a box before it
# is rejected, which would cost the caller one of its attempts. A box reads its
# configuration within some 20 ms.
FIRST_CONFIGURATION_SECONDS = 0.25
NO_CONFIGURATION_RETRY_SECONDS = 0.3


class CallDispatcher:
    """Routes calls and sends exactly one final response for each."""

    def __init__(
        self,
        routes: ActiveRouteTable,
        key_authenticator: KeyAuthenticator,
        quota_check: QuotaCheck,
        plain_handler: PlainCallHandler,
        stream_handler: StreamCallHandler,
        shutdown: ShutdownDeadline,
        metrics: Metrics,
        held: HeldBytes = UNBOUNDED,
    ) -> None:
        self.held = held
        self.routes = routes
        self.key_authenticator = key_authenticator
        self.quota_check = quota_check
        self.plain_handler = plain_handler
        self.stream_handler = stream_handler
        self.shutdown = shutdown
        self.metrics = metrics

    def handle(self, request: CallerRequest, writer: ReplyWriter) -> None:
        """Handle one request."""
        call_id = request.headers.get_text(ANSWER_ID)
        set_request_id(call_id)
        progress = CallProgress()
        try:
            if writer.follows_close:
                raise make_shutdown_refusal()
            self.check_room()
            call = replace(read_call(request), progress=progress)
            self.route_call(request, writer, call)
        except CallRefusedError as error:
            self.send_refusal(request, writer, call_id, error, progress)
        except RequestError as error:
            refusal = CallRefusedError(error.status, error.reason)
            self.send_refusal(request, writer, call_id, refusal, progress)
        except ShutdownError:
            # The call may have run: what is certain not to have is refused elsewhere.
            refusal = CallRefusedError(504, STOPPING)
            self.send_refusal(request, writer, call_id, refusal, progress)
        except CallerDisconnectedError as error:
            self.record_caller_disconnect(request, str(error), progress)
            raise
        except GreenletExit:
            self.record_caller_disconnect(request, "connection closed", progress)
            raise
        except Exception as error:
            log.exception("Unhandled exception while handling a call.")
            refusal = CallRefusedError(502, f"fault of this box: {error}")
            self.send_refusal(request, writer, call_id, refusal, progress)

    def check_room(self) -> None:
        """Raise `CallRefusedError` if this box holds as much as it may."""
        if self.held.is_full:
            self.metrics.count_refusal("held_bytes")
            raise CallRefusedError(503, "this box is full", FULL_RETRY_SECONDS)

    def route_call(
        self, request: CallerRequest, writer: ReplyWriter, call: Call
    ) -> None:
        """Pass a call that is admitted to the handler of its route."""
        try:
            call, route = self.admit(request, call)
        except ShutdownError:
            raise make_shutdown_refusal() from None
        if route.is_stream:
            self.stream_handler.run(request, writer, call, route)
        else:
            self.plain_handler.run(request, writer, call, route)
        self.record_answer(request, writer, call, route)

    def admit(self, request: CallerRequest, call: Call) -> tuple[Call, Route]:
        """Authenticate a call and check its quota; return it with its route."""
        table, route = self.find_route(request, call)
        self.shutdown.check(call, route, request.read_at)
        call = replace(
            self.shutdown.limit(call, request.read_at),
            caller_identity=self.key_authenticator.authenticate(
                request, call, route, table
            ),
            configuration_version=self.routes.version,
            kind=route.name,
        )
        self.quota_check.check(call)
        return call, route

    def find_route(
        self, request: CallerRequest, call: Call
    ) -> tuple[RouteTable, Route]:
        """Return the route of a call, and the table that it is from.

        A 404 for a turn that continues another says that there is no such turn. Only
        the newest configuration can tell: the route may be newer than the one known
        here.
        """
        table = self.routes.wait(FIRST_CONFIGURATION_SECONDS)
        if table is None:
            wait = NO_CONFIGURATION_RETRY_SECONDS
            raise CallRefusedError(503, "no configuration yet", wait)
        route = table.find(request.host, request.path)
        if route is None and call.program.previous_turn:
            self.key_authenticator.confirm_configuration(call, request.read_at)
            table = self.routes.wait(FIRST_CONFIGURATION_SECONDS)
            route = table.find(request.host, request.path)
        if route is None:
            raise CallRefusedError(
                404, "no route", facts=self.key_authenticator.describe_freshness()
            )
        return table, route

    def record_answer(
        self, request: CallerRequest, writer: ReplyWriter, call: Call, route: Route
    ) -> None:
        """Count and log a call that was answered."""
        seconds = time.monotonic() - request.read_at
        self.metrics.count("calls.answered")
        self.metrics.time("calls.seconds", seconds)
        log.info(
            "Call answered.",
            extra={
                "status": writer.status,
                "route": route.name,
                "program": call.program.program,
                "workspace": call.workspace,
                "ms": round(seconds * 1000, 1),
            },
        )

    def record_caller_disconnect(
        self, request: CallerRequest, reason: str, progress: CallProgress
    ) -> None:
        """Log that the caller disconnected before its response was complete."""
        self.metrics.count("calls.caller_left")
        seconds = time.monotonic() - request.read_at
        log.info(
            "Caller disconnected.",
            extra={
                "why": reason,
                "sends": progress.sends,
                "target": progress.last_target,
                "path": request.path.decode("latin-1"),
                "program": read_program(request),
                "ms": round(seconds * 1000, 1),
            },
        )

    def send_refusal(
        self,
        request: CallerRequest,
        writer: ReplyWriter,
        call_id: str,
        error: CallRefusedError,
        progress: CallProgress,
    ) -> None:
        """Send an error response, or end a response that has already begun."""
        self.metrics.count_refusal(f"status_{error.status}")
        if writer.started:
            self.metrics.count("calls.broken_off")
        seconds = time.monotonic() - request.read_at
        log.info(
            "Call given up.",
            extra={
                "status": error.status,
                "why": error.reason,
                "path": request.path.decode("latin-1"),
                "program": read_program(request),
                "ms": round(seconds * 1000, 1),
                "version": self.routes.version,
                "broken_off": writer.started,
                "sends": progress.sends,
                **error.facts,
            },
        )
        if writer.started:
            return
        headers = write_refusal_headers(call_id, error.retry_after_seconds)
        writer.write_refusal(error.status, error.reason, headers)
