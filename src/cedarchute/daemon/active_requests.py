"""Counts requests in progress, so that a planned stop cuts none off."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from werkzeug.wsgi import ClosingIterator

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class ActiveRequests:
    """A WSGI wrapper that knows how many responses are not sent yet."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self.app = app
        self.count = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request and count it until its last byte."""
        self.count += 1
        try:
            body = self.app(environ, start_response)
        except BaseException:
            self.count -= 1
            raise
        return ClosingIterator(body, self._on_close)

    def _on_close(self) -> None:
        self.count -= 1
