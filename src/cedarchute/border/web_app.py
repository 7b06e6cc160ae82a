"""Base class of the WSGI applications: routing, request bodies and errors."""

from __future__ import annotations

import json
import logging
import math
from typing import TYPE_CHECKING, Any, Final, TypeVar

from pydantic import ValidationError
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from cedarchute.ini import IniError
from cedarchute.message import Message
from cedarchute.problem import PROBLEM_TYPE, Problem
from cedarchute.request_ids import REQUEST_ID_HEADER, set_request_id
from cedarchute.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarchute.metrics import Metrics

log = logging.getLogger("cedarchute.border")

MessageT = TypeVar("MessageT", bound=Message)

JSON_TYPE: Final = "application/json"


class WebApp:
    """A WSGI application whose subclasses register their methods as routes."""

    def __init__(self, max_body_bytes: int, metrics: Metrics) -> None:
        self.max_body_bytes = max_body_bytes
        self.metrics = metrics
        self.rules = Map()
        self.handlers: dict[str, Callable[..., Response]] = {}

    def add(self, method: str, path: str, handler: Callable[..., Response]) -> None:
        """Route `method` on `path` to `handler`."""
        endpoint = f"{method} {path}"
        self.rules.add(Rule(path, methods=[method], endpoint=endpoint))
        self.handlers[endpoint] = handler

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request; every error becomes a problem document."""
        # Disables eventlet's buffering of streams into chunks of 8 KB.
        environ["eventlet.minimum_write_chunk_size"] = 0
        request = Request(environ)
        request.max_content_length = self.max_body_bytes
        request_id = self.read_request_id(request)
        # The task serves all requests of a connection, so set the ID for each one.
        set_request_id(request_id)
        try:
            endpoint, values = self.rules.bind_to_environ(environ).match()
            response = self.handlers[endpoint](request, **values)
        except Problem as problem:
            response = make_problem_response(problem)
        except IniError as error:
            problem = Problem("bad_file", "; ".join(error.faults), status=422)
            response = make_problem_response(problem)
        except RequestEntityTooLarge:
            self.metrics.count_refusal("body_too_large")
            detail = f"The body is over {self.max_body_bytes} bytes; send less."
            response = make_problem_response(
                Problem("body_too_large", detail, status=413)
            )
        except HTTPException as error:
            problem = Problem(
                "bad_request", error.description or "", status=error.code or 400
            )
            response = make_problem_response(problem)
        except Exception:
            log.exception("Request %s %s failed.", request.method, request.path)
            problem = Problem(
                "internal",
                "The system failed; ask again.",
                status=500,
                verdict=Verdict.MAY_HAVE_RUN,
            )
            response = make_problem_response(problem)
        if request_id:
            response.headers[REQUEST_ID_HEADER] = request_id
        return response(environ, start_response)

    def read_request_id(self, request: Request) -> str:
        """Return the request ID for the logs; empty for requests between boxes."""
        del request
        return ""

    def read_message(self, request: Request, model: type[MessageT]) -> MessageT:
        """Return the validated body of a request.

        Raises
        ------
        Problem
            ``bad_body``, naming the invalid field.
        """
        data = request.get_data()
        try:
            return model.model_validate_json(data or b"{}")
        except ValidationError as error:
            self.metrics.count_refusal("bad_body")
            raise Problem(
                "bad_body", describe_validation_error(model, error)
            ) from error


def describe_validation_error(model: type[Message], error: ValidationError) -> str:
    """Return one sentence about the first validation error of a body."""
    fault = error.errors()[0]
    field = ".".join(str(part) for part in fault["loc"]) or "body"
    if fault["type"] == "extra_forbidden":
        known = ", ".join(model.model_fields)
        return f"{field}: unknown field; known fields are {known}."
    return f"{field}: {fault['msg']}."


def make_json_response(document: object, status: int = 200) -> Response:
    """Return `document` as a JSON response."""
    return Response(json.dumps(document), status=status, content_type=JSON_TYPE)


def make_message_response(message: Message, status: int = 200) -> Response:
    """Return `message` as a JSON response."""
    return Response(message.to_json(), status=status, content_type=JSON_TYPE)


def make_problem_response(problem: Problem) -> Response:
    """Return a problem document with its headers."""
    response = Response(
        json.dumps(problem.document), status=problem.status, content_type=PROBLEM_TYPE
    )
    response.headers["Cedarchute-Verdict"] = problem.verdict.value
    if problem.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after)))
    return response
