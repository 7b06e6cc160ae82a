"""Asks another box what it knows of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import urllib3

from cedarchute.fleet.state_messages import STATE_PATH, AskState, State
from cedarchute.host_pools import HostPools

if TYPE_CHECKING:
    from cedarchute.address import Address

# Beyond the time that the other box may wait: its answer is small, the way short.
ANSWER_SECONDS: Final = 0.4
KEPT_HOSTS: Final = 4
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class StateNotToldError(Exception):
    """The other box did not answer, or not as boxes do."""

    code = "state_not_told"


class StateClient:
    """Keeps one connection to each of the few boxes asked last."""

    def __init__(self) -> None:
        self.pools = HostPools(1, hosts=KEPT_HOSTS)

    def ask(
        self,
        address: Address,
        after: int | None,
        wait_seconds: float = 0.0,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> State:
        """Return what a box knows beyond the revision `after`.

        Parameters
        ----------
        wait_seconds : float
            How long the other box may wait for something new.
        answer_seconds : float
            How long its answer may take beyond that.

        Raises
        ------
        StateNotToldError
            When no usable answer came in time.
        """
        try:
            response = self.pools.request(
                "POST",
                address,
                STATE_PATH,
                body=msgspec.json.encode(
                    AskState(after, wait_seconds, takes_keys=True)
                ),
                headers=JSON_HEADERS,
                timeout=urllib3.Timeout(
                    connect=answer_seconds, read=wait_seconds + answer_seconds
                ),
            )
            return msgspec.json.decode(response.data, type=State)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            raise StateNotToldError(f"{address}: {error}") from error
