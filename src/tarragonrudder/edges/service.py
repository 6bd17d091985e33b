"""Client of the plain services."""

import base64
import typing as t
from dataclasses import dataclass

import httpx
from pydantic import BaseModel, Field, ValidationError

from tarragonrudder.core.domain.action import CallService, ReadOutcome
from tarragonrudder.core.domain.event import (
    Event,
    OutcomeRead,
    ServiceAnswered,
    ServiceFailed,
)
from tarragonrudder.core.domain.failure import (
    Crashed,
    Expired,
    Failure,
    Refused,
    Stalled,
    Unreachable,
)
from tarragonrudder.edges.whole_response import fetch

CONNECT_TIMEOUT = 1.0  # seconds
MAX_ANSWER_BYTES = 4 << 20  # as long as callers' bodies
MAX_OUTCOME_BYTES = 6 << 20  # an answer in base64, and what is told of it
RUN_STATE_HEADER = "tarragonrudder-run-state"
LEAVING_HEADER = "tarragonrudder-leaving"
RECORD_HEADER = "tarragonrudder-record"
REQUEST_HEADER = "x-request-id"
_SEND_STARTED_EVENT = "http11.send_request_headers.started"


@dataclass(frozen=True, slots=True)
class ServiceInput:
    """The caller's request, forwarded unchanged."""

    method: str
    path: str
    content_type: str | None
    body: bytes


class OutcomeBody(BaseModel):
    """Response of a service to a query for the outcome of a call."""

    record: str
    state: t.Literal["run", "not_known"]
    status: int = Field(200, ge=200, le=599)
    content_type: str = "application/octet-stream"
    body: str = Field("", description="base64")


class _SendDeadlineExceeded(Exception):
    """The send deadline passed before the first byte was sent."""


class ServiceClient:
    """Sends each call once; the core decides about retries."""

    def __init__(
        self, post: t.Callable[[Event], None], read_clock: t.Callable[[], float]
    ) -> None:
        self._post = post
        self._read_clock = read_clock
        # Each call has its own connection. If a reused one fails, a call that was
        # never read can't be told from one that was read and not answered.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(limits=limits)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call(self, action: CallService, call_input: ServiceInput | None) -> None:
        """Send one call and post its response or failure."""
        if call_input is None:
            # The caller disconnected before the call was sent.
            self._post_failure(action, Expired())
            return
        try:
            response = await self._request(action, call_input)
        except _SendDeadlineExceeded:
            self._post_failure(action, Expired())
            return
        except (httpx.ConnectError, httpx.ConnectTimeout):
            self._post_failure(action, Unreachable())
            return
        except httpx.TimeoutException:
            self._post_failure(action, Stalled())
            return
        except httpx.HTTPError:
            self._post_failure(action, Crashed())
            return
        if _is_refusal(response):
            self._post_failure(
                action, Refused(response.headers.get(LEAVING_HEADER) == "true")
            )
            return
        content_type = response.headers.get("content-type", "application/octet-stream")
        event = ServiceAnswered(
            action.request,
            action.attempt,
            response.status_code,
            content_type,
            response.content,
        )
        self._post(event)

    async def read_outcome(self, action: ReadOutcome) -> None:
        """Query the outcome of a call and post the reply, or None if it is unknown."""
        unknown = OutcomeRead(action.request, action.upstream, None)
        try:
            response = await fetch(
                self._client,
                "GET",
                action.address + action.path,
                action.timeout,
                MAX_OUTCOME_BYTES,
                headers={RECORD_HEADER: action.record},
            )
            reported = OutcomeBody.model_validate_json(response.content)
            body = base64.b64decode(reported.body, validate=True)
        except (httpx.HTTPError, ValidationError, ValueError):
            self._post(unknown)
            return
        if response.status_code != 200 or reported.record != action.record:
            self._post(unknown)
            return
        if reported.state != "run":
            self._post(unknown)
            return
        event = OutcomeRead(
            action.request,
            action.upstream,
            reported.status,
            reported.content_type,
            body,
        )
        self._post(event)

    async def _request(
        self, action: CallService, call_input: ServiceInput
    ) -> httpx.Response:
        async def check_send_deadline(
            event: str, details: t.Mapping[str, t.Any]
        ) -> None:
            # The process may have been paused since the core decided.
            if event == _SEND_STARTED_EVENT and self._read_clock() >= action.send_by:
                raise _SendDeadlineExceeded

        return await fetch(
            self._client,
            call_input.method,
            action.address + call_input.path,
            action.timeout,
            MAX_ANSWER_BYTES,
            headers=_make_headers(action, call_input),
            content=call_input.body,
            timeouts=httpx.Timeout(action.timeout, connect=CONNECT_TIMEOUT),
            extensions={"trace": check_send_deadline},
        )

    def _post_failure(self, action: CallService, failure: Failure) -> None:
        self._post(ServiceFailed(action.request, action.attempt, failure))


def _make_headers(action: CallService, call_input: ServiceInput) -> dict[str, str]:
    headers = {REQUEST_HEADER: action.request}
    if call_input.content_type:
        headers["content-type"] = call_input.content_type
    if action.key is not None:
        headers["idempotency-key"] = action.key
    if action.record is not None:
        headers[RECORD_HEADER] = action.record
    return headers


def _is_refusal(response: httpx.Response) -> bool:
    """Return whether the service states that it did not run the call."""
    run_state = response.headers.get(RUN_STATE_HEADER)
    return response.status_code == 503 and run_state == "not_run"
