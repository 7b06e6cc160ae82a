"""HTTP client of plain services and tools."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import urllib3

from cedarchute.fresh_connections import FreshConnections
from cedarchute.targets.target_error import make_status_error, make_transport_error

if TYPE_CHECKING:
    from cedarchute.address import Address

CONNECT_TIMEOUT_SECONDS: Final = 2.0


class ServiceClient:
    """Posts a JSON body and returns the text of the response."""

    def __init__(self) -> None:
        self.connections = FreshConnections()

    def call(
        self,
        address: Address,
        key: str,
        program: str,
        body: str,
        timeout_seconds: float,
    ) -> str:
        """Send one request to the service.

        Raises
        ------
        TargetError
            With a verdict that tells whether the request may have run.
        """
        headers = {
            "content-type": "application/json",
            "idempotency-key": key,
            "cedarchute-program": program,
        }
        try:
            response = self.connections.request(
                "POST",
                address,
                "/call",
                body=body.encode(),
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=timeout_seconds
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise make_transport_error(error) from error
        if response.status != 200:
            raise make_status_error(response)
        return response.data.decode()
