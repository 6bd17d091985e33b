"""Error responses in the OpenAI format, extended by the run state.

Their messages also say what to do about the error.
"""

import math
import typing as t

import orjson
from quart import Response

from tarragonrudder.errors import Problem

JSON_TYPE = "application/json"


def describe_problem(problem: Problem) -> dict[str, t.Any]:
    """Return the JSON body of an error response."""
    return {
        "error": {
            "message": problem.message,
            "type": problem.kind,
            "code": problem.kind,
            "param": None,
            "run_state": problem.run_state.value,
        }
    }


def respond_json(body: t.Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(body), status=status, content_type=JSON_TYPE)


def respond_problem(problem: Problem) -> Response:
    """Return an error response.

    ``Retry-After`` is rounded up, to at least 1 s, so that no client retries too early.
    """
    response = respond_json(describe_problem(problem), problem.status)
    if problem.retry_after is not None:
        seconds = max(1, math.ceil(problem.retry_after))
        response.headers["retry-after"] = str(seconds)
    return response
