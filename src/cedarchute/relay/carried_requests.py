"""Remembers which requests a connection carried."""

from __future__ import annotations

from typing import Final

# Bounds what is remembered of a connection; it is closed with this many requests.
MAX_CARRIED: Final = 256


class CarriedRequests:
    """The requests that were sent on a connection.

    A target may answer a request more than once. An id tells such an answer from those
    to other requests, but not from the answer to a second send of the same one, so a
    connection carries no id twice.

    Attributes
    ----------
    count : int
        How many requests were sent.
    hashes : set of int
        Hashes of their ids: callers choose the length of an id, and two ids that share
        a hash cost no more than a new connection.
    """

    def __init__(self) -> None:
        self.count = 0
        self.hashes: set[int] = set()

    def __contains__(self, request_id: bytes) -> bool:
        """Whether a request with this id was sent."""
        return hash(request_id) in self.hashes

    @property
    def is_full(self) -> bool:
        """Whether the connection is to carry no further request."""
        return self.count >= MAX_CARRIED

    def add(self, request_id: bytes) -> None:
        """Record a request; an empty id stands for one without."""
        self.count += 1
        if request_id:
            self.hashes.add(hash(request_id))
