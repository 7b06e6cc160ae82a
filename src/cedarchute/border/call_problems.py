"""The problems of a call whose home cannot answer it now."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cedarchute.border.forwarder import REROUTE_HEADER
from cedarchute.border.web_app import make_problem_response
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from werkzeug.wrappers import Response

COME_BACK_SECONDS: Final = 2.0


def make_reroute_response() -> Response:
    """Return the answer to a box that took this one for the home."""
    problem = Problem(
        "not_home",
        "The program's home is another box; look for it again.",
        status=421,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=COME_BACK_SECONDS,
    )
    response = make_problem_response(problem)
    response.headers[REROUTE_HEADER] = "1"
    return response


def make_home_lost_problem() -> Problem:
    """Return the problem of a home that nobody has taken over yet."""
    return Problem(
        "home_lost",
        "The box that orders the program's calls is gone and not replaced yet; "
        "ask again with the same key.",
        status=503,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=COME_BACK_SECONDS,
    )


def make_late_problem() -> Problem:
    """Return the problem of an answer that takes longer than allowed."""
    return Problem(
        "answer_late",
        "The call is still in progress; fetch its answer later with its key.",
        status=504,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after=COME_BACK_SECONDS,
    )
