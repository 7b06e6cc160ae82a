"""Answers while the box is not ready yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from cedarchute.border.web_app import make_problem_response
from cedarchute.problem import Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

COME_BACK_SECONDS: Final = 1.0


class StartingApp:
    """Refuses requests until the real application is set."""

    def __init__(self) -> None:
        self.app: Callable[..., Iterable[bytes]] | None = None

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        if self.app is not None:
            return self.app(environ, start_response)
        problem = Problem(
            "starting",
            "This box is starting and has not reached the store yet.",
            status=503,
            retry_after=COME_BACK_SECONDS,
        )
        return make_problem_response(problem)(environ, start_response)
