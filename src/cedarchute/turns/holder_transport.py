"""How requests reach holders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from cedarchute.answer_bound import AnswerBound
from cedarchute.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarchute.address import Address
    from cedarchute.turns.answer_timeout import AnswerTimeout


# As many bytes as a holder takes in one request.
RECORDS_BOUND: Final = AnswerBound(64_000_000)


class NoAnswerError(Exception):
    """There is no connection, or no valid answer in time."""

    code = "no_answer"


class HolderAnswer(Record):
    """Status and body of an answer."""

    status: int
    body: bytes


class HolderTransport(Protocol):
    """Sends requests over connections that it keeps open."""

    def post(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: AnswerTimeout,
        must_give_up: Callable[[], bool] | None = None,
    ) -> HolderAnswer:
        """Send one request with a JSON body and return its whole answer.

        There is no retry. When no answer comes in time, the idle connections to the
        address are closed: open ones may go silent together while new ones work.

        Parameters
        ----------
        must_give_up : Callable or None
            Asked now and then while nothing comes; ends the wait early.

        Raises
        ------
        NoAnswerError
            When there is no connection or no valid answer.
        """
        ...
