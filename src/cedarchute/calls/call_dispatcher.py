"""Takes each request of a caller to the kind of call that answers it."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from greenlet import GreenletExit
from msgspec.structs import replace

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.platform.call_headers import (
    ANSWER_ID,
    read_call,
    read_program,
    write_refusal_headers,
)
from cedarchute.relay.request_error import RequestError
from cedarchute.request_ids import set_request_id

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.key_authenticator import KeyAuthenticator
    from cedarchute.calls.plain_call_handler import PlainCallHandler
    from cedarchute.calls.quota_check import QuotaCheck
    from cedarchute.calls.stream_call_handler import StreamCallHandler
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.active_route_table import ActiveRouteTable

log = logging.getLogger("cedarchute.calls")

# A box that has just started reads its configuration within some 20 ms; a caller that
# comes first waits for it rather than spend one of its few tries.
FIRST_CONFIGURATION_SECONDS = 0.25
NO_CONFIGURATION_RETRY_SECONDS = 0.3


class CallDispatcher:
    """Routes calls; whatever happens, each gets one final answer."""

    def __init__(
        self,
        routes: ActiveRouteTable,
        keys: KeyAuthenticator,
        quota: QuotaCheck,
        plain: PlainCallHandler,
        turns: StreamCallHandler,
        metrics: Metrics,
    ) -> None:
        self.routes = routes
        self.keys = keys
        self.quota = quota
        self.plain = plain
        self.turns = turns
        self.metrics = metrics

    def handle(self, request: CallerRequest, writer: ReplyWriter) -> None:
        """Answer one request."""
        call_id = request.headers.get_text(ANSWER_ID)
        set_request_id(call_id)
        try:
            call = read_call(request)
            self.answer(request, writer, call)
        except CallRefusedError as error:
            self.refuse(request, writer, call_id, error)
        except RequestError as error:
            refusal = CallRefusedError(error.status, error.reason)
            self.refuse(request, writer, call_id, refusal)
        except (OSError, GreenletExit):
            self.note_caller_left(request)
            raise
        except Exception as error:
            log.exception("A call failed within the box.")
            refusal = CallRefusedError(502, f"fault of this box: {error}")
            self.refuse(request, writer, call_id, refusal)

    def answer(self, request: CallerRequest, writer: ReplyWriter, call: Call) -> None:
        """Answer one call by the route that it takes."""
        table = self.routes.wait(FIRST_CONFIGURATION_SECONDS)
        if table is None:
            wait = NO_CONFIGURATION_RETRY_SECONDS
            raise CallRefusedError(503, "no configuration yet", wait)
        route = table.find(request.host, request.path)
        if route is None:
            raise CallRefusedError(404, "no route", facts=self.keys.tell_proof())
        call = replace(
            call, caller_identity=self.keys.identify(request, call, route, table)
        )
        self.quota.check(call, self.routes.version)
        if route.is_stream:
            self.turns.run(request, writer, call, route)
        else:
            self.plain.run(request, writer, call, route)
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

    def note_caller_left(self, request: CallerRequest) -> None:
        """Log that the caller closed its connection before its answer was whole."""
        self.metrics.count("calls.caller_left")
        seconds = time.monotonic() - request.read_at
        log.info(
            "Caller left.",
            extra={
                "path": request.path.decode("latin-1"),
                "program": read_program(request),
                "ms": round(seconds * 1000, 1),
            },
        )

    def refuse(
        self,
        request: CallerRequest,
        writer: ReplyWriter,
        call_id: str,
        error: CallRefusedError,
    ) -> None:
        """Answer with a status of our own; an answer under way is broken off."""
        self.metrics.count_refusal(f"status_{error.status}")
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
                **error.facts,
            },
        )
        if writer.started:
            return
        headers = write_refusal_headers(call_id, error.retry_after_seconds)
        writer.write_refusal(error.status, error.reason, headers)
