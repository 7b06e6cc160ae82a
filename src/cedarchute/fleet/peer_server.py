"""HTTP server of a box for other boxes and for metrics scrapers."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec

from cedarchute.crashes.crash_report import CRASHES_PATH, CrashAnnouncement
from cedarchute.fleet.metrics_app import METRICS_PATH, MetricsApp
from cedarchute.fleet.relay_messages import RELAY_PATH, RelayRequest
from cedarchute.fleet.state_messages import (
    STATE_PATH,
    AskStateAndNews,
    StateAndNews,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.crashes.crash_exchange import CrashExchange
    from cedarchute.fleet.box_news import BoxNews
    from cedarchute.fleet.holder_relay import HolderRelay
    from cedarchute.fleet.news_exchange import NewsExchange
    from cedarchute.fleet.store_mirror import StoreMirror
    from cedarchute.metrics import Metrics
    from cedarchute.turns.holder_app import HolderApp

log = logging.getLogger("cedarchute.fleet")

JSON_TYPE: Final = "application/json"
# Upper bound of a long poll, which occupies a connection and a task here.
MAX_WAIT_SECONDS: Final = 5.0


class PeerServer:
    """WSGI application for store state, metrics and, on holders, turn records."""

    def __init__(
        self,
        mirror: StoreMirror,
        metrics: Metrics,
        holder: HolderApp | None = None,
        news: NewsExchange | None = None,
        relay: HolderRelay | None = None,
        crashes: CrashExchange | None = None,
    ) -> None:
        self.crashes = crashes
        self.relay = relay
        self.mirror = mirror
        self.news = news
        self.metrics = MetricsApp(metrics)
        self.holder = holder

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle a request."""
        path = environ["PATH_INFO"]
        if path == STATE_PATH:
            return self.answer_state(environ, start_response)
        if path == METRICS_PATH:
            return self.metrics(environ, start_response)
        if path == RELAY_PATH and self.relay is not None:
            return self.send_on(environ, start_response)
        if path == CRASHES_PATH and self.crashes is not None:
            return self.take_crashes(environ, start_response)
        if self.holder is not None:
            return self.holder(environ, start_response)
        return self.reply(start_response, "404 Not Found", b"{}")

    def answer_state(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Return the store state of this box, after a long poll if requested."""
        asked_at = time.monotonic()
        body = environ["wsgi.input"].read()
        try:
            asked = msgspec.json.decode(body, type=AskStateAndNews)
        except msgspec.MsgspecError:
            return self.reply(start_response, "400 Bad Request", b"{}")
        self.take_news(asked.news)
        wait_seconds = min(asked.wait_seconds, MAX_WAIT_SECONDS)
        self.mirror.wait_for_update(asked.after, wait_seconds)
        state = self.mirror.tell(asked.after, asked.takes_keys, asked_at)
        if asked.news is not None and self.news is not None:
            told = self.news.make_domain(asked.news.box)
            state = StateAndNews(**msgspec.structs.asdict(state), news=told)
        return self.reply(start_response, "200 OK", msgspec.json.encode(state))

    def take_news(self, news: BoxNews | None) -> None:
        """Take in news of another box; wake those that wait here to hear them."""
        if news is None or self.news is None:
            return
        if self.news.take_box(news):
            self.mirror.notify_waiters()

    def send_on(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Send a request of another box on to a holder."""
        body = environ["wsgi.input"].read()
        try:
            asked = msgspec.json.decode(body, type=RelayRequest)
            answer = self.relay.send_on(asked)
        except (msgspec.MsgspecError, ValueError) as error:
            log.info("Relay request refused.", extra={"why": str(error)})
            return self.reply(start_response, "400 Bad Request", b"{}")
        return self.reply(start_response, "200 OK", msgspec.json.encode(answer))

    def take_crashes(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Take in under which requests targets crashed; return what is known here."""
        body = environ["wsgi.input"].read()
        try:
            told = msgspec.json.decode(body, type=CrashAnnouncement)
        except msgspec.MsgspecError as error:
            log.info("Crash reports refused.", extra={"why": str(error)})
            return self.reply(start_response, "400 Bad Request", b"{}")
        known = self.crashes.receive(told)
        if known is None:
            return self.reply(start_response, "503 Service Unavailable", b"{}")
        return self.reply(start_response, "200 OK", msgspec.json.encode(known))

    def reply(
        self, start_response: Callable[..., Any], status: str, body: bytes
    ) -> list[bytes]:
        """Start a response and return its body."""
        fields = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
        start_response(status, fields)
        return [body]
