"""The HTTP interface towards callers."""

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
DEFAULT_SECONDS: Final = 120.0
SHORT_SECONDS: Final = 10.0


class CallerApp(WebApp):
    """Every route that callers use; also taken by boxes that pass requests on."""

    def __init__(
        self,
        calls: CallBorder,
        follower: HomeFollower,
        forwarder: Forwarder,
        runner: CallRunner,
        home: ProgramRegistry,
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
        self.home = home
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
        """Tell which addresses to use, and for how long to keep the answer."""
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
        """Open a program here, or at its parent's home, or elsewhere if leaving."""
        message = self.read_message(request, OpenRequest)
        if message.parent is not None:
            return self.at_home(request, message.parent, lambda: self.open(message))
        if self.keeper.record.is_leaving and HOPS_HEADER not in request.headers:
            return self.open_elsewhere(request)
        return self.open(message)

    def open(self, message: OpenRequest) -> Response:
        """Open a program on this box."""
        program = self.home.open(message)
        record = self.keeper.record
        document = describe_program(program, record.name)
        document["home_address"] = str(record.caller_address)
        return make_json_response(document, 201)

    def open_elsewhere(self, request: Request) -> Response:
        """Pass the opening of a program on to a box that stays."""
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
        return self.at_home(
            request,
            program,
            lambda: make_json_response(
                describe_program(self.home.find(program), self.keeper.record.name)
            ),
        )

    def on_end(self, request: Request, program: str) -> Response:
        """End a program; what it holds on engines is released."""
        return self.at_home(request, program, lambda: self.end(program))

    def end(self, program_id: str) -> Response:
        """End a program whose home is here, and cancel its calls."""
        program = self.home.find(program_id)
        program.is_ending = True
        for key in list(program.runs):
            self.runner.cancel(program, key)
        self.home.end(program, "ended by its caller")
        return make_json_response({"program": program_id, "state": "ended"})

    def on_call(self, request: Request, program: str) -> Response:
        """Run a call, or give the answer that its key already has."""
        message = self.read_message(request, CallRequest)
        key = self.read_key(request.headers.get("Idempotency-Key", ""))
        exchange = self.make_exchange(request, program, key)
        exchange.request = message
        exchange.body = request.get_data()
        exchange.is_stream = message.stream
        exchange.seconds = message.deadline_seconds or DEFAULT_SECONDS
        return self.calls.answer(exchange)

    def on_fetch(self, request: Request, program: str, key: str) -> Response:
        """Give a kept answer again, or follow a call in progress."""
        exchange = self.make_exchange(request, program, self.read_key(key))
        exchange.is_stream = request.args.get("stream") in ("1", "true")
        offset = request.args.get("offset", "")
        if offset.isdigit():
            exchange.offset = int(offset)
        return self.calls.answer(exchange)

    def on_cancel(self, request: Request, program: str, key: str) -> Response:
        """Stop a call in progress."""
        self.read_key(key)
        return self.at_home(request, program, lambda: self.cancel(program, key))

    def cancel(self, program_id: str, key: str) -> Response:
        """Stop a call of a program whose home is here."""
        self.runner.cancel(self.home.find(program_id), key)
        return make_json_response({"program": program_id, "key": key})

    def make_exchange(self, request: Request, program: str, key: str) -> CallExchange:
        """Return the exchange of a request, from where its caller has the stream."""
        exchange = CallExchange(
            program=program,
            key=key,
            request=None,
            body=None,
            seconds=DEFAULT_SECONDS,
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
        """Return a checked key."""
        if KEY_PATTERN.match(key):
            return key
        self.metrics.count_refusal("bad_key")
        raise Problem(
            "bad_key",
            "Send a header Idempotency-Key of 1 to 128 letters, digits, '.', '_', '-'.",
        )

    def at_home(self, request: Request, program: str, here: object) -> Response:
        """Answer a short request at a program's home."""
        exchange = self.make_exchange(request, program, "none")
        exchange.seconds = SHORT_SECONDS
        try:
            return self.follower.follow(
                exchange,
                here,  # type: ignore[arg-type]
                lambda box: self.forward(request, box, exchange.partition),
            )
        except PartitionMovedError:
            return make_reroute_response()

    def forward(self, request: Request, box: BoxRecord, partition: str) -> Response:
        """Pass a short request on to another box.

        Raises
        ------
        Problem
            ``answer_lost`` when an opening was sent and its answer did not come;
            the unused program ends by itself.
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
            # The other box may wait for that long itself, and is to say so first.
            seconds=SHORT_SECONDS + ANSWER_MARGIN_SECONDS,
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
