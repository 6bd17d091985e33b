"""Client of the plain services."""

import typing as t
from dataclasses import dataclass

import httpx

from tarragonrudder.core.action import CallService
from tarragonrudder.core.event import (
    Crashed,
    Event,
    Failure,
    ServiceAnswered,
    ServiceFailed,
    Stalled,
    Unreachable,
)

CONNECT_TIMEOUT = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class ServiceInput:
    """What a caller sent: passed on as it came."""

    method: str
    path: str
    content_type: str | None
    body: bytes


class ServiceClient:
    """Sends each call once; the core decides on retries."""

    def __init__(self, post: t.Callable[[Event], None]) -> None:
        self._post = post
        # A new connection for each call: a reused one can't tell a call that
        # was never read from one that was read and not answered.
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._client = httpx.AsyncClient(limits=limits)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call(self, action: CallService, given: ServiceInput) -> None:
        """Send one call and post its answer or failure."""
        headers = {}
        if given.content_type:
            headers["content-type"] = given.content_type
        if action.key is not None:
            headers["idempotency-key"] = action.key
        try:
            response = await self._client.request(
                given.method,
                action.address + given.path,
                content=given.body,
                headers=headers,
                timeout=httpx.Timeout(action.timeout, connect=CONNECT_TIMEOUT),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            self._fail(action, Unreachable())
            return
        except httpx.TimeoutException:
            self._fail(action, Stalled())
            return
        except httpx.HTTPError:
            self._fail(action, Crashed())
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

    def _fail(self, action: CallService, failure: Failure) -> None:
        self._post(ServiceFailed(action.request, action.attempt, failure))
