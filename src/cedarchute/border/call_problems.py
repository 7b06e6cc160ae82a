"""Problem responses for calls that the owner of the program can't answer now."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.border.forwarder import REROUTE_HEADER
from cedarchute.border.web_app import make_problem_response
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from werkzeug.wrappers import Response

RETRY_AFTER_SECONDS: Final = 2.0


def make_reroute_response() -> Response:
    """Return the response to a box that forwarded a request to the wrong owner."""
    problem = Problem(
        "not_home",
        "The program's home is another box; look for it again.",
        status=421,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=RETRY_AFTER_SECONDS,
    )
    response = make_problem_response(problem)
    response.headers[REROUTE_HEADER] = "1"
    return response


def make_owner_lost_problem() -> Problem:
    """Return the problem of a program whose owner is lost and not yet replaced."""
    return Problem(
        "home_lost",
        "The box that orders the program's calls is gone and not replaced yet; "
        "ask again with the same key.",
        status=503,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def make_timeout_problem() -> Problem:
    """Return the problem of a call that exceeds the timeout of its request."""
    return Problem(
        "answer_late",
        "The call is still in progress; fetch its answer later with its key.",
        status=504,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=RETRY_AFTER_SECONDS,
    )
