"""Connections whose answers are bounded in bytes and in time."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import urllib3

from cedarchute.bounded_response import BoundedResponse

if TYPE_CHECKING:
    from cedarchute.answer_bound import AnswerBound


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection whose answers are bounded.

    Parameters
    ----------
    bound : AnswerBound
        What may be read of an answer.
    """

    def __init__(self, *args: Any, bound: AnswerBound, **options: Any) -> None:
        super().__init__(*args, **options)
        self.response_class = partial(BoundedResponse, bound)


class BoundedPool(urllib3.HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = BoundedConnection
