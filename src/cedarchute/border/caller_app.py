"""The HTTP API for callers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from cedarchute.border.answers import describe_program
from cedarchute.border.call_exchange import ANSWER_MARGIN_SECONDS, CallExchange
from cedarchute.border.call_problems import make_reroute_response
from cedarchute.border.entry_choice import choose_entries
from cedarchute.border.forwarded_request import ForwardedRequest
from cedarchute.border.forwarder import HOPS_HEADER
from cedarchute.border.reroute_error import RerouteError
from cedarchute.border.web_app import WebApp, make_json_response
from cedarchute.copies.owned_partition import PartitionMovedError
from cedarchute.problem import Problem
from cedarchute.programs.requests import CallRequest, OpenRequest
from cedarchute.request_ids import (
    REQUEST_ID_HEADER,
    current_request_id,
    is_request_id,
)
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    import random

    from werkzeug.wrappers import Request, Response

    from cedarchute.border.call_border import CallBorder
    from cedarchute.border.forwarder import Forwarder
    from cedarchute.border.home_follower import HomeFollower
    from cedarchute.membership.box_record import BoxRecord
    from cedarchute.membership.lease_keeper import LeaseKeeper
    from cedarchute.membership.view import View
    from cedarchute.metrics import Metrics
    from cedarchute.programs.call_runner import CallRunner
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.settings.box_settings import ServingSection

KEY_PATTERN: Final = re.compile(r"^[A-Za-z0-9._-]{1,128}$")
DEFAULT_CALL_SECONDS: Final = 120.0
SHORT_REQUEST_SECONDS: Final = 10.0


class CallerApp(WebApp):
    """The routes of the caller API; other boxes use them to forward requests."""

    def __init__(
        self,
        calls: CallBorder,
        follower: HomeFollower,
        forwarder: Forwarder,
        runner: CallRunner,
        registry: ProgramRegistry,
        view: View,
        keeper: LeaseKeeper,
        settings: ServingSection,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__(settings.max_body_bytes, metrics)
        self.calls = calls
        self.follower = follower
        self.forwarder = forwarder
        self.runner = runner
        self.registry = registry
        self.view = view
        self.keeper = keeper
        self.settings = settings
        self.random_source = random_source
        self.request_count = 0
        program = "/v1/programs/<program>"
        self.add("GET", "/v1/entries", self.on_entries)
        self.add("POST", "/v1/programs", self.on_open)
        self.add("GET", program, self.on_show)
        self.add("DELETE", program, self.on_end)
        self.add("POST", f"{program}/calls", self.on_call)
        self.add("GET", f"{program}/calls/<key>", self.on_fetch)
        self.add("DELETE", f"{program}/calls/<key>", self.on_cancel)

    def on_entries(self, request: Request) -> Response:
        """Return addresses that a caller may use, and how long to cache them."""
        boxes = choose_entries(
            self.keeper.record.region,
            request.args.get("failure_domain", ""),
            self.view.entries,
            self.random_source,
        )
        entries = [
            {"address": str(b.caller_address), "failure_domain": b.failure_domain}
            for b in boxes
        ]
        keep = self.settings.entry_keep_seconds
        return make_json_response({"entries": entries, "keep_seconds": keep})

    def on_open(self, request: Request) -> Response:
        """Open a program here, at its parent's owner, or elsewhere when draining."""
        message = self.read_message(request, OpenRequest)
        if message.parent is not None:
            return self.answer_at_owner(
                request, message.parent, lambda: self.open(message)
            )
        if self.keeper.record.is_leaving and HOPS_HEADER not in request.headers:
            return self.forward_open(request)
        return self.open(message)

    def open(self, message: OpenRequest) -> Response:
        """Open a program on this box."""
        program = self.registry.open(message)
        record = self.keeper.record
        document = describe_program(program, record.name)
        document["home_address"] = str(record.caller_address)
        return make_json_response(document, 201)

    def forward_open(self, request: Request) -> Response:
        """Forward the opening of a program to a box that is not draining."""
        boxes = [b for b in self.view.entries if b.name != self.keeper.record.name]
        if boxes:
            box = self.random_source.choice(boxes)
            try:
                return self.forward(request, box, "")
            except RerouteError:
                self.metrics.count_retry("open_elsewhere")
        raise Problem(
            "leaving",
            "This box is leaving; ask GET /v1/entries for another.",
            status=503,
            retry_after=1.0,
        )

    def on_show(self, request: Request, program: str) -> Response:
        """Describe a program."""
        return self.answer_at_owner(
            request,
            program,
            lambda: make_json_response(
                describe_program(self.registry.find(program), self.keeper.record.name)
            ),
        )

    def on_end(self, request: Request, program: str) -> Response:
        """End a program and release its cache on the engines."""
        return self.answer_at_owner(request, program, lambda: self.end(program))

    def end(self, program_id: str) -> Response:
        """End a program that this box owns, and cancel its calls."""
        program = self.registry.find(program_id)
        program.is_ending = True
        for key in list(program.runs):
            self.runner.cancel(program, key)
        self.registry.end(program, "ended by its caller")
        return make_json_response({"program": program_id, "state": "ended"})

    def on_call(self, request: Request, program: str) -> Response:
        """Run a call, or return the response that its key already has."""
        message = self.read_message(request, CallRequest)
        key = self.read_key(request.headers.get("Idempotency-Key", ""))
        exchange = self.make_exchange(request, program, key)
        exchange.request = message
        exchange.body = request.get_data()
        exchange.is_stream = message.stream
        exchange.seconds = message.deadline_seconds or DEFAULT_CALL_SECONDS
        return self.calls.answer(exchange)

    def on_fetch(self, request: Request, program: str, key: str) -> Response:
        """Return the stored response of a call, or wait for one in progress."""
        exchange = self.make_exchange(request, program, self.read_key(key))
        exchange.is_stream = request.args.get("stream") in ("1", "true")
        offset = request.args.get("offset", "")
        if offset.isdigit():
            exchange.offset = int(offset)
        return self.calls.answer(exchange)

    def on_cancel(self, request: Request, program: str, key: str) -> Response:
        """Cancel a call in progress."""
        self.read_key(key)
        return self.answer_at_owner(request, program, lambda: self.cancel(program, key))

    def cancel(self, program_id: str, key: str) -> Response:
        """Cancel a call of a program that this box owns."""
        self.runner.cancel(self.registry.find(program_id), key)
        return make_json_response({"program": program_id, "key": key})

    def make_exchange(self, request: Request, program: str, key: str) -> CallExchange:
        """Return the exchange of a request, starting at its ``Last-Event-ID``."""
        exchange = CallExchange(
            program=program,
            key=key,
            request=None,
            body=None,
            seconds=DEFAULT_CALL_SECONDS,
            is_stream=False,
            is_forwarded=HOPS_HEADER in request.headers,
            request_id=current_request_id(),
        )
        attempt, _, offset = request.headers.get("Last-Event-ID", "").partition(".")
        if attempt.isdigit() and offset.isdigit():
            exchange.attempt = int(attempt)
            exchange.offset = int(offset)
        return exchange

    def read_request_id(self, request: Request) -> str:
        """Return the caller's request id, or a new one."""
        given = request.headers.get(REQUEST_ID_HEADER, "")
        if is_request_id(given):
            return given
        self.request_count += 1
        return f"{self.keeper.record.identity}-{self.request_count}"

    def read_key(self, key: str) -> str:
        """Return `key` if it is a valid idempotency key.

        Raises
        ------
        Problem
            ``bad_key`` when it is missing or malformed.
        """
        if KEY_PATTERN.match(key):
            return key
        self.metrics.count_refusal("bad_key")
        raise Problem(
            "bad_key",
            "Send a header Idempotency-Key of 1 to 128 letters, digits, '.', '_', '-'.",
        )

    def answer_at_owner(
        self, request: Request, program: str, handle_locally: object
    ) -> Response:
        """Serve a short request if this box owns the program, else forward it."""
        exchange = self.make_exchange(request, program, "none")
        exchange.seconds = SHORT_REQUEST_SECONDS
        try:
            return self.follower.follow(
                exchange,
                handle_locally,  # type: ignore[arg-type]
                lambda box: self.forward(request, box, exchange.partition),
            )
        except PartitionMovedError:
            return make_reroute_response()

    def forward(self, request: Request, box: BoxRecord, partition: str) -> Response:
        """Forward a short request to another box.

        Raises
        ------
        Problem
            ``answer_lost`` when a program was to be opened and no response came;
            an unused program ends after its idle timeout.
        """
        forwarded = ForwardedRequest(
            partition=partition,
            box=box,
            method=request.method,
            path=request.full_path.rstrip("?"),
            body=request.get_data() or None,
            headers={
                "Content-Type": "application/json",
                REQUEST_ID_HEADER: current_request_id(),
            },
            # Leaves the other box time to report that its own timeout expired.
            seconds=SHORT_REQUEST_SECONDS + ANSWER_MARGIN_SECONDS,
        )
        try:
            return self.forwarder.fetch(forwarded)
        except RerouteError as error:
            if not error.was_sent or request.method != "POST":
                raise
            raise Problem(
                "answer_lost",
                "The program may have been opened; open another, this one ends idle.",
                status=503,
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after=1.0,
            ) from error
