"""HTTP client of the model engines (chat-completions format)."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any, Final

import urllib3
from pydantic import ValidationError
from pydantic_core import from_json

from cedarchute.answer_bound import AnswerBound
from cedarchute.fresh_connections import FreshConnections
from cedarchute.host_pools import HostPools
from cedarchute.targets.load_report import LoadReport
from cedarchute.targets.stream_chunk import StreamChunk, StreamEnd
from cedarchute.targets.target_error import (
    TargetError,
    make_status_error,
    make_transport_error,
)
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from urllib3.response import BaseHTTPResponse

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics
    from cedarchute.targets.generate_request import GenerateRequest

log = logging.getLogger("cedarchute.targets")

CONNECT_TIMEOUT_SECONDS: Final = 2.0
CONTROL_TIMEOUT_SECONDS: Final = 3.0
# Short because a call waits for the transfer and can do without it.
CACHE_TRANSFER_TIMEOUT_SECONDS: Final = 1.0
# Load reports are read one at a time.
MAX_LOAD_CONNECTIONS: Final = 1
MAX_HOSTS: Final = 256
MAX_EVENT_BYTES: Final = 1_048_576
STREAM_BOUND: Final = AnswerBound(2 * MAX_EVENT_BYTES, is_stream=True)
MAX_DROPPED_BYTES: Final = 65_536
JSON_HEADERS: Final = {"content-type": "application/json"}
TRANSPORT_ERRORS: Final = (urllib3.exceptions.HTTPError, OSError)


class EngineClient:
    """Sends generation and control requests to engines.

    Attributes
    ----------
    load_pools : HostPools
        Connections kept for load reports, which are read often; a surplus one is a
        report of a moment before.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.streams = FreshConnections(STREAM_BOUND)
        self.commands = FreshConnections()
        self.load_pools = HostPools(MAX_LOAD_CONNECTIONS, MAX_HOSTS)

    def generate(
        self, address: Address, request: GenerateRequest, timeout_seconds: float
    ) -> Iterator[StreamChunk | StreamEnd]:
        """Start an answer and yield its chunks, followed by the end.

        Raises
        ------
        TargetError
            With verdict ``NOT_RUN`` only when the engine cannot have started.
        """
        path = "/v1/chat/completions"
        response = self._open_stream(
            "POST", address, path, timeout_seconds, request.to_bytes()
        )
        yield from self._read_events(response)

    def resume(
        self, address: Address, request_id: str, offset: int, timeout_seconds: float
    ) -> Iterator[StreamChunk | StreamEnd]:
        """Resume a stream at an offset in characters.

        Raises
        ------
        TargetError
            ``stream_unknown`` when the engine does not know the request.
        """
        path = f"/v1/streams/{request_id}?offset={offset}"
        response = self._open_stream("GET", address, path, timeout_seconds)
        yield from self._read_events(response)

    def cancel(self, address: Address, request_id: str) -> None:
        """Cancel a stream; raise `TargetError` if the engine does not confirm."""
        self._send_control_request("DELETE", address, f"/v1/streams/{request_id}")

    def release(self, address: Address, program: str) -> None:
        """Free the cache of `program`; raise `TargetError` if unconfirmed."""
        body = {"program": program}
        self._send_control_request("POST", address, "/cache/release", body)

    def export_cache(self, address: Address, program: str) -> dict[str, Any]:
        """Return the cache of `program`, for import by another engine."""
        body = {"program": program}
        return self._send_control_request(
            "POST", address, "/cache/export", body, CACHE_TRANSFER_TIMEOUT_SECONDS
        )

    def import_cache(self, address: Address, exported: dict[str, Any]) -> None:
        """Import the cache that another engine has exported."""
        self._send_control_request(
            "POST", address, "/cache/import", exported, CACHE_TRANSFER_TIMEOUT_SECONDS
        )

    def list_cached_programs(self, address: Address) -> list[str]:
        """Return the IDs of the programs that have cache on the engine."""
        return list(
            self._send_control_request("GET", address, "/cache/held")["programs"]
        )

    def read_load(self, address: Address) -> LoadReport:
        """Return the engine's load report."""
        document = self._send_control_request(
            "GET", address, "/load", connections=self.load_pools
        )
        try:
            return LoadReport.model_validate(document)
        except ValidationError as error:
            raise TargetError("bad_report", str(error), Verdict.NOT_RUN) from error

    def read_state(self, address: Address) -> dict[str, Any]:
        """Return the model, version and fencing token of an engine."""
        return self._send_control_request("GET", address, "/state")

    def send_command(
        self, address: Address, command: dict[str, object]
    ) -> dict[str, Any]:
        """Send a command; raise `TargetError` if it is refused or unanswered."""
        return self._send_control_request("POST", address, "/orders", command)

    def _open_stream(
        self,
        method: str,
        address: Address,
        path: str,
        timeout_seconds: float,
        body: bytes | None = None,
    ) -> BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=timeout_seconds)
        try:
            response = self.streams.request(
                method,
                address,
                path,
                body=body,
                headers=JSON_HEADERS,
                preload_content=False,
                timeout=timeout,
            )
        except TRANSPORT_ERRORS as error:
            raise make_transport_error(error) from error
        if response.status == 200:
            return response
        self._drop_body(response)
        if response.status == 404 and method == "GET":
            raise TargetError("stream_unknown", path, Verdict.MAY_HAVE_RUN)
        raise make_status_error(response)

    def _drop_body(self, response: BaseHTTPResponse) -> None:
        """Read the body of a refusal so that its connection can be reused."""
        try:
            is_short = len(response.read(MAX_DROPPED_BYTES)) < MAX_DROPPED_BYTES
        except TRANSPORT_ERRORS as error:
            log.info("Refusal not read.", extra={"why": str(error)})
            is_short = False
        if is_short:
            response.release_conn()
        else:
            response.close()

    def _read_events(
        self, response: BaseHTTPResponse
    ) -> Iterator[StreamChunk | StreamEnd]:
        buffer = b""
        is_complete = False
        try:
            while chunk := response.read1(65_536):
                buffer += chunk
                complete, separator, remainder = buffer.rpartition(b"\n\n")
                if len(remainder) > MAX_EVENT_BYTES:
                    raise ValueError(f"event longer than {MAX_EVENT_BYTES} bytes")
                if not separator:
                    continue
                buffer = remainder
                for item in parse_events(complete):
                    yield item
                    is_complete = is_complete or isinstance(item, StreamEnd)
        except (*TRANSPORT_ERRORS, ValueError, KeyError) as error:
            response.close()
            raise make_transport_error(error) from error
        finally:
            if is_complete:
                response.release_conn()
            else:
                response.close()
        if not is_complete:
            raise TargetError("target_broke_off", "no end", Verdict.MAY_HAVE_RUN)

    def _send_control_request(
        self,
        method: str,
        address: Address,
        path: str,
        body: dict[str, object] | None = None,
        timeout_seconds: float = CONTROL_TIMEOUT_SECONDS,
        connections: FreshConnections | HostPools | None = None,
    ) -> dict[str, Any]:
        data = None if body is None else json.dumps(body).encode()
        try:
            response = (connections or self.commands).request(
                method,
                address,
                path,
                body=data,
                headers=JSON_HEADERS,
                timeout=timeout_seconds,
            )
        except TRANSPORT_ERRORS as error:
            raise make_transport_error(error) from error
        self.metrics.count_exchange("control", 0, len(response.data))
        if response.status != 200:
            raise make_status_error(response)
        try:
            return response.json()
        except ValueError as error:
            raise TargetError("bad_answer", path, Verdict.MAY_HAVE_RUN) from error


def parse_events(data: bytes) -> Iterator[StreamChunk | StreamEnd]:
    """Parse complete server-sent events; join their texts into one chunk.

    An engine sends one event per token. Joining those that arrive together reduces
    the overhead per token.
    """
    texts = []
    tokens = 0
    end = None
    for line in data.split(b"\n"):
        if not line.startswith(b"data: ") or line == b"data: [DONE]":
            continue
        event = from_json(line[6:])
        choice = event["choices"][0] if event.get("choices") else {}
        content = choice.get("delta", {}).get("content")
        if content:
            texts.append(content)
            tokens += 1
        if usage := event.get("usage"):
            end = StreamEnd(
                finish_reason=choice.get("finish_reason") or "stop",
                prompt_tokens=usage["prompt_tokens"],
                cached_tokens=usage.get("cached_tokens", 0),
                completion_tokens=usage["completion_tokens"],
            )
    if texts:
        yield StreamChunk("".join(texts), tokens)
    if end is not None:
        yield end
