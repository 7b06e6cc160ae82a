"""Small HTTP requests with JSON, for drivers and tests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import urllib3


@dataclass(frozen=True)
class JsonReply:
    """The status, headers and document of a reply."""

    status: int
    headers: dict[str, str]
    document: Any


class HttpJson:
    """Sends requests to any address, with connections kept open."""

    def __init__(self) -> None:
        self.pool = urllib3.PoolManager(num_pools=128, maxsize=256, retries=False)

    def request(
        self,
        method: str,
        address: str,
        path: str,
        document: object = None,
        headers: dict[str, str] | None = None,
        timeout: float = 90.0,
    ) -> JsonReply:
        """Send one request; transport errors are urllib3's."""
        response = self.pool.request(
            method,
            f"http://{address}{path}",
            json=document,
            headers=headers,
            timeout=timeout,
        )
        try:
            parsed = response.json()
        except ValueError:
            parsed = response.data.decode(errors="replace")
        lowered = {name.lower(): value for name, value in response.headers.items()}
        return JsonReply(response.status, lowered, parsed)

    def get(self, address: str, path: str, timeout: float = 10.0) -> Any:
        """Return the document at `path`."""
        return self.request("GET", address, path, timeout=timeout).document

    def post(self, address: str, path: str, document: object) -> JsonReply:
        """Post a document."""
        return self.request("POST", address, path, document)
