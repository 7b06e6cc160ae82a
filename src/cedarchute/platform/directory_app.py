"""WSGI application for caller address lookups and readiness checks."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.fleet.box_directory import BoxDirectory

# How long callers may cache a response. Some exceed it, by up to three times; a box
# that stops must keep serving for that time. A shorter TTL causes more lookups.
RESPONSE_TTL_SECONDS: Final = 1


class DirectoryApp:
    """Serves both on one listener.

    Parameters
    ----------
    find_excluded : callable
        Returns an address to leave out of responses, or an empty string.
    """

    def __init__(
        self,
        directory: BoxDirectory,
        is_ready: Callable[[], bool],
        is_behind: Callable[[], bool],
        failure_domain: str,
        region: str,
        find_excluded: Callable[[], str] = lambda: "",
    ) -> None:
        self.directory = directory
        self.is_ready = is_ready
        self.is_behind = is_behind
        self.failure_domain = failure_domain
        self.region = region
        self.find_excluded = find_excluded

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == "/readyz":
            status, body = self.answer_ready()
        elif path == "/resolve":
            status, body = self.answer_resolve(environ.get("QUERY_STRING", ""))
        else:
            status, body = "404 Not Found", b""
        fields = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, fields)
        return [body]

    def answer_ready(self) -> tuple[str, bytes]:
        """Return the readiness of this box to accept callers."""
        return ("200 OK" if self.is_ready() else "503 Service Unavailable"), b""

    def answer_resolve(self, query: str) -> tuple[str, bytes]:
        """Return the addresses of the boxes that a caller should use."""
        values = parse_qs(query)
        domain = values.get("Zone", [self.failure_domain])[0]
        region = values.get("Region", [self.region])[0]
        addresses = self.directory.list_caller_addresses(
            domain, region, self.is_behind()
        )
        excluded = self.find_excluded()
        addresses = [a for a in addresses if a != excluded] or addresses
        if not addresses:
            return "503 Service Unavailable", b""
        document = {"Addresses": addresses, "TtlS": RESPONSE_TTL_SECONDS}
        return "200 OK", json.dumps(document).encode()
