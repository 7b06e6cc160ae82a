"""Answers while the box is not ready yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from werkzeug.wrappers import Request

from cedarchute.border.call_problems import make_reroute_response
from cedarchute.border.forwarder import HOPS_HEADER
from cedarchute.border.web_app import make_problem_response
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

COME_BACK_SECONDS: Final = 1.0
PROGRAM_PATH: Final = "/v1/programs/"


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
        request = Request(environ)
        if HOPS_HEADER in request.headers:
            # The box that passed this on takes the new process for the one before
            # it: the program's home is elsewhere by now, or will be.
            return make_reroute_response()(environ, start_response)
        response = make_problem_response(make_starting_problem(request.path))
        return response(environ, start_response)


def make_starting_problem(path: str) -> Problem:
    """Return the problem of a box that is not ready yet.

    A program's request may have run when it was sent before, under the same key; this
    box cannot know.
    """
    is_of_program = path.startswith(PROGRAM_PATH)
    return Problem(
        "starting",
        "This box is starting and has not reached the store yet.",
        status=503,
        verdict=Verdict.MAY_HAVE_RUN if is_of_program else Verdict.NOT_RUN,
        retry_after=COME_BACK_SECONDS,
    )
