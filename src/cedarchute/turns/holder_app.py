"""WSGI application that exposes a holder to other boxes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import msgspec

from cedarchute.turns.copy_messages import CoverSeats, ListRecords, ReadTurns
from cedarchute.turns.holder import Holder, HolderError
from cedarchute.turns.messages import (
    QUOTA_PATH,
    AskPresence,
    AskProgramQuota,
    AskStanding,
    BeginTurn,
    ReadAccount,
    ReadChain,
    ReadIdleTimes,
    Refused,
    TakeRecords,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.turns.quota_server import QuotaServer
    from cedarchute.turns.record_source import RecordSource
    from cedarchute.turns.seat_coverage import SeatCoverage

log = logging.getLogger("cedarchute.turns")

MAX_BODY_BYTES: Final = 64_000_000
JSON: Final = [("Content-Type", "application/json")]


class HolderApp:
    """Decodes requests, dispatches them to the holder and encodes the answers."""

    def __init__(
        self,
        holder: Holder,
        quotas: QuotaServer,
        source: RecordSource,
        coverage: SeatCoverage,
    ) -> None:
        self.box = holder.box
        self.handlers: dict[str, tuple[type, Callable[[Any], object]]] = {
            "/turns/begin": (BeginTurn, holder.begin_turn),
            "/turns/take": (TakeRecords, holder.take_records),
            "/turns/account": (ReadAccount, holder.read_account),
            "/turns/standing": (AskStanding, holder.read_standing),
            "/turns/presence": (AskPresence, holder.read_presence),
            "/turns/chain": (ReadChain, holder.read_chain),
            "/turns/idle": (ReadIdleTimes, holder.read_idle_times),
            "/turns/index": (ListRecords, source.list_records),
            "/turns/read": (ReadTurns, source.read_turns),
            "/turns/cover": (CoverSeats, coverage.cover),
            QUOTA_PATH: (AskProgramQuota, quotas.ask),
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        body = environ["wsgi.input"].read()
        status, answer = self.answer(environ["PATH_INFO"], body)
        encoded = msgspec.json.encode(answer)
        length = ("Content-Length", str(len(encoded)))
        start_response(status, [*JSON, length])
        return [encoded]

    def answer(self, path: str, body: bytes) -> tuple[str, object]:
        """Return the HTTP status line and the answer to one request."""
        if path not in self.handlers:
            return "404 Not Found", Refused(f"no such call: {path}")
        model, handle = self.handlers[path]
        try:
            message = msgspec.json.decode(body, type=model)
        except msgspec.MsgspecError as error:
            return "400 Bad Request", Refused(f"not a {model.__name__}: {error}")
        try:
            return "200 OK", handle(message)
        except HolderError as error:
            refusal = Refused(
                error.reason,
                error.table,
                error.is_empty,
                error.is_disk_lost,
                self.box,
                error.is_full,
            )
            return "409 Conflict", refusal
        except OSError as error:
            return "503 Service Unavailable", Refused(f"disk: {error}")
        except Exception as error:
            log.exception("Unhandled error in a holder request.")
            return "500 Internal Server Error", Refused(f"fault: {error}")
