"""HTTP client for the store state of another box."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import urllib3

from cedarchute.fleet.state_messages import (
    STATE_PATH,
    AskState,
    AskStateAndNews,
    StateAndNews,
)
from cedarchute.host_pools import HostPools

if TYPE_CHECKING:
    from cedarchute.address import Address
    from cedarchute.fleet.box_news import BoxNews

# Response timeout, in addition to the long poll at the other box; the response is small
# and the network path short.
ANSWER_SECONDS: Final = 0.4
MAX_POOLED_HOSTS: Final = 4
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class StateUnavailableError(Exception):
    """The other box sent no response, or an invalid one."""

    code = "state_not_told"


class StateClient:
    """Keeps one connection to each of the most recently queried boxes."""

    def __init__(self) -> None:
        self.pools = HostPools(1, hosts=MAX_POOLED_HOSTS)

    def ask(
        self,
        address: Address,
        after: int | None,
        wait_seconds: float = 0.0,
        answer_seconds: float = ANSWER_SECONDS,
        news: BoxNews | None = None,
    ) -> StateAndNews:
        """Return the state of a box after revision `after`.

        Parameters
        ----------
        wait_seconds : float
            How long the other box may wait for a change.
        answer_seconds : float
            Response timeout in addition to `wait_seconds`.
        news : BoxNews or None
            What this box tells of itself.

        Raises
        ------
        StateNotToldError
            When no valid response arrived in time.
        """
        message = AskState(after, wait_seconds, takes_keys=True)
        if news is not None:
            message = AskStateAndNews(after, wait_seconds, takes_keys=True, news=news)
        try:
            response = self.pools.request(
                "POST",
                address,
                STATE_PATH,
                body=msgspec.json.encode(message),
                headers=JSON_HEADERS,
                timeout=urllib3.Timeout(
                    connect=answer_seconds, read=wait_seconds + answer_seconds
                ),
            )
            return msgspec.json.decode(response.data, type=StateAndNews)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            raise StateUnavailableError(f"{address}: {error}") from error
