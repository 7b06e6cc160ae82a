"""Answers callers that ask where to connect, and the platform's readiness checks."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.fleet.box_directory import BoxDirectory

# Callers keep an answer this long, some three times as long: a box that stops has
# to serve for that time. Shorter answers cost more questions.
KEEP_SECONDS: Final = 1


class DirectoryApp:
    """A WSGI application for both, so that one listener each is enough.

    Parameters
    ----------
    find_unfit : callable
        Returns an address that is not to be named now, empty if there is none.
    """

    def __init__(
        self,
        directory: BoxDirectory,
        is_ready: Callable[[], bool],
        is_behind: Callable[[], bool],
        failure_domain: str,
        region: str,
        find_unfit: Callable[[], str] = lambda: "",
    ) -> None:
        self.directory = directory
        self.is_ready = is_ready
        self.is_behind = is_behind
        self.failure_domain = failure_domain
        self.region = region
        self.find_unfit = find_unfit

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
        """Say whether this box takes callers."""
        return ("200 OK" if self.is_ready() else "503 Service Unavailable"), b""

    def answer_resolve(self, query: str) -> tuple[str, bytes]:
        """Say which boxes a caller should use."""
        values = parse_qs(query)
        domain = values.get("Zone", [self.failure_domain])[0]
        region = values.get("Region", [self.region])[0]
        addresses = self.directory.list_caller_addresses(
            domain, region, self.is_behind()
        )
        unfit = self.find_unfit()
        addresses = [a for a in addresses if a != unfit] or addresses
        if not addresses:
            return "503 Service Unavailable", b""
        document = {"Addresses": addresses, "TtlS": KEEP_SECONDS}
        return "200 OK", json.dumps(document).encode()
