"""Takes each request of a caller to the kind of call that answers it."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from cedarchute.calls.call_errors import CallRefusedError
from cedarchute.platform.call_headers import read_call, write_refusal_headers
from cedarchute.relay.request_error import RequestError
from cedarchute.request_ids import set_request_id

if TYPE_CHECKING:
    from cedarchute.calls.call import Call
    from cedarchute.calls.plain_call import PlainCall
    from cedarchute.calls.turn_call import TurnCall
    from cedarchute.metrics import Metrics
    from cedarchute.relay.caller_request import CallerRequest
    from cedarchute.relay.reply_writer import ReplyWriter
    from cedarchute.routing.route_book import RouteBook

log = logging.getLogger("cedarchute.calls")

NO_CONFIGURATION_RETRY_SECONDS = 0.3


class CallDesk:
    """Routes calls; whatever happens, each gets one final answer."""

    def __init__(
        self, routes: RouteBook, plain: PlainCall, turns: TurnCall, metrics: Metrics
    ) -> None:
        self.routes = routes
        self.plain = plain
        self.turns = turns
        self.metrics = metrics

    def handle(self, request: CallerRequest, writer: ReplyWriter) -> None:
        """Answer one request."""
        started = time.monotonic()
        call_id = ""
        try:
            call = read_call(request)
            call_id = call.id
            set_request_id(call_id)
            self.answer(request, writer, call)
            self.metrics.count("calls.answered")
        except CallRefusedError as error:
            self.refuse(writer, call_id, error)
        except RequestError as error:
            self.refuse(writer, call_id, CallRefusedError(error.status, error.reason))
        finally:
            self.metrics.time("calls.seconds", time.monotonic() - started)

    def answer(self, request: CallerRequest, writer: ReplyWriter, call: Call) -> None:
        """Answer one call by the route that it takes."""
        table = self.routes.table
        if table is None:
            wait = NO_CONFIGURATION_RETRY_SECONDS
            raise CallRefusedError(503, "no configuration yet", wait)
        route = table.find(request.host, request.path)
        if route is None:
            raise CallRefusedError(404, "no route")
        if route.is_stream:
            self.turns.run(request, writer, call, route)
        else:
            self.plain.run(request, writer, call, route)

    def refuse(
        self, writer: ReplyWriter, call_id: str, error: CallRefusedError
    ) -> None:
        """Answer with a status of our own; an answer under way is broken off."""
        self.metrics.count_refusal(f"status_{error.status}")
        log.info(
            "Call given up.",
            extra={
                "status": error.status,
                "why": error.reason,
                "version": self.routes.version,
                "broken_off": writer.started,
            },
        )
        if writer.started:
            return
        headers = write_refusal_headers(call_id, error.retry_after_seconds)
        writer.write_refusal(error.status, error.reason, headers)
