"""Speaks the chat-completions form with model engines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

import urllib3
from pydantic import ValidationError
from pydantic_core import from_json

from cedarchute.host_pools import HostPools
from cedarchute.targets.load_report import LoadReport
from cedarchute.targets.stream_chunk import StreamChunk, StreamEnd
from cedarchute.targets.target_error import (
    TargetError,
    describe_status,
    describe_transport_error,
)
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from urllib3.response import BaseHTTPResponse

    from cedarchute.address import Address
    from cedarchute.metrics import Metrics
    from cedarchute.targets.generate_request import GenerateRequest

CONNECT_SECONDS: Final = 2.0
CONTROL_SECONDS: Final = 3.0
# A call waits for a move, and can do without it.
MOVE_SECONDS: Final = 1.0
CONNECTIONS: Final = 64
CONTROL_CONNECTIONS: Final = 4
HOSTS: Final = 256
JSON_HEADERS: Final = {"content-type": "application/json"}
TRANSPORT_ERRORS: Final = (urllib3.exceptions.HTTPError, OSError)


class EngineClient:
    """Generates, resumes, cancels and releases on one engine at a time."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.pools = HostPools(CONNECTIONS, HOSTS)
        self.control_pools = HostPools(CONTROL_CONNECTIONS, HOSTS)

    def generate(
        self, address: Address, request: GenerateRequest, seconds: float
    ) -> Iterator[StreamChunk | StreamEnd]:
        """Start an answer and yield its pieces, the end last.

        Raises
        ------
        TargetError
            With ``not run`` only when the engine surely did not start.
        """
        path = "/v1/chat/completions"
        response = self._open("POST", address, path, seconds, request.to_bytes())
        yield from self._read(response)

    def resume(
        self, address: Address, request_id: str, offset: int, seconds: float
    ) -> Iterator[StreamChunk | StreamEnd]:
        """Continue an answer at `offset` characters.

        Raises
        ------
        TargetError
            ``stream_unknown`` when the engine does not know the request.
        """
        path = f"/v1/streams/{request_id}?offset={offset}"
        response = self._open("GET", address, path, seconds)
        yield from self._read(response)

    def cancel(self, address: Address, request_id: str) -> None:
        """Stop an answer; raise `TargetError` when the engine did not confirm."""
        self._control("DELETE", address, f"/v1/streams/{request_id}")

    def release(self, address: Address, program: str) -> None:
        """Free the cache of `program`; raise `TargetError` when unconfirmed."""
        body = {"program": program}
        self._control("POST", address, "/cache/release", body)

    def export_cache(self, address: Address, program: str) -> dict[str, Any]:
        """Return what an engine has cached of `program`, for another one to take."""
        body = {"program": program}
        return self._control("POST", address, "/cache/export", body, MOVE_SECONDS)

    def import_cache(self, address: Address, exported: dict[str, Any]) -> None:
        """Give an engine what another one has exported."""
        self._control("POST", address, "/cache/import", exported, MOVE_SECONDS)

    def list_cached_programs(self, address: Address) -> list[str]:
        """Return the programs that the engine holds cache for."""
        return list(self._control("GET", address, "/cache/held")["programs"])

    def read_load(self, address: Address) -> LoadReport:
        """Return the engine's load report."""
        document = self._control("GET", address, "/load")
        try:
            return LoadReport.model_validate(document)
        except ValidationError as error:
            raise TargetError("bad_report", str(error), Verdict.NOT_RUN) from error

    def read_state(self, address: Address) -> dict[str, Any]:
        """Return the model, version and fence of an engine."""
        return self._control("GET", address, "/state")

    def send_command(
        self, address: Address, order: dict[str, object]
    ) -> dict[str, Any]:
        """Give an order; raise `TargetError` when it was refused or unanswered."""
        return self._control("POST", address, "/orders", order)

    def _open(
        self,
        method: str,
        address: Address,
        path: str,
        seconds: float,
        body: bytes | None = None,
    ) -> BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds)
        try:
            response = self.pools.request(
                method,
                address,
                path,
                body=body,
                headers=JSON_HEADERS,
                preload_content=False,
                timeout=timeout,
            )
        except TRANSPORT_ERRORS as error:
            raise describe_transport_error(error) from error
        if response.status == 200:
            return response
        response.drain_conn()
        response.release_conn()
        if response.status == 404 and method == "GET":
            raise TargetError("stream_unknown", path, Verdict.MAY_HAVE_RUN)
        raise describe_status(response)

    def _read(self, response: BaseHTTPResponse) -> Iterator[StreamChunk | StreamEnd]:
        buffer = b""
        is_whole = False
        try:
            while chunk := response.read1(65_536):
                buffer += chunk
                complete, separator, rest = buffer.rpartition(b"\n\n")
                if not separator:
                    continue
                buffer = rest
                for item in parse_events(complete):
                    yield item
                    is_whole = is_whole or isinstance(item, StreamEnd)
        except (*TRANSPORT_ERRORS, ValueError, KeyError) as error:
            response.close()
            raise describe_transport_error(error) from error
        finally:
            if is_whole:
                response.release_conn()
            else:
                response.close()
        if not is_whole:
            raise TargetError("target_broke_off", "no end", Verdict.MAY_HAVE_RUN)

    def _control(
        self,
        method: str,
        address: Address,
        path: str,
        body: dict[str, object] | None = None,
        seconds: float = CONTROL_SECONDS,
    ) -> dict[str, Any]:
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self.control_pools.request(
                method,
                address,
                path,
                body=data,
                headers=JSON_HEADERS,
                timeout=seconds,
            )
        except TRANSPORT_ERRORS as error:
            raise describe_transport_error(error) from error
        self.metrics.count_exchange("control", 0, len(response.data))
        if response.status != 200:
            raise describe_status(response)
        try:
            return response.json()
        except ValueError as error:
            raise TargetError("bad_answer", path, Verdict.MAY_HAVE_RUN) from error


def parse_events(data: bytes) -> Iterator[StreamChunk | StreamEnd]:
    """Yield what some whole events say; the texts joined to one piece.

    An engine sends one event for each token. Joining those that arrived together
    saves the cost of handling each by itself.
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
