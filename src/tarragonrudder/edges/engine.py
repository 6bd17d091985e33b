"""Client of the model engines; ``docs/upstreams.md`` describes the protocol."""

import typing as t

import httpx
import trio

from tarragonrudder.core.domain.action import CancelAttempt, StartAttempt
from tarragonrudder.core.domain.event import AttemptFailed, Event
from tarragonrudder.core.domain.failure import Crashed, Unreachable
from tarragonrudder.edges.engine_protocol import (
    StreamDecoder,
    decode_refusal,
    encode_attempt,
)
from tarragonrudder.edges.whole_response import (
    PLAIN_HEADERS,
    fetch,
    require_defined_status,
    require_plain_encoding,
)

CONNECT_TIMEOUT = 0.5  # seconds
CANCEL_TIMEOUT = 1.0  # seconds
REFUSAL_TIMEOUT = 1.0  # seconds for the body of a refusal
MAX_IDLE_CONNECTIONS = 256
MAX_REFUSAL_BYTES = 64 * 1024
MAX_SIDE_BYTES = 64 * 1024  # of an answer to a cancellation or a probe


class EngineClient:
    """Starts attempts and reads their streams."""

    def __init__(self, post: t.Callable[[Event], None]) -> None:
        self._post = post
        limits = httpx.Limits(
            max_connections=None, max_keepalive_connections=MAX_IDLE_CONNECTIONS
        )
        timeout = httpx.Timeout(CONNECT_TIMEOUT, read=None)
        self._client = httpx.AsyncClient(timeout=timeout, limits=limits)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def run_attempt(self, action: StartAttempt) -> None:
        """Send an attempt to the head of its chain and post its events."""
        head = action.chain.hops[0]
        decoder = StreamDecoder(action.request, action.attempt, head.upstream)
        try:
            async with self._client.stream(
                "POST",
                head.address + "/v1/generate",
                content=encode_attempt(action),
                headers={"content-type": "application/json", **PLAIN_HEADERS},
            ) as response:
                require_defined_status(response.status_code)
                require_plain_encoding(response)
                if response.status_code != 200:
                    await self._post_refusal(action, response)
                    return
                async for data in response.aiter_bytes():
                    self._post_events(decoder.feed(data))
                    if decoder.ended:
                        return
            # The stream ended without its terminator.
            self._post(decoder.fail(Crashed()))
        except (httpx.ConnectError, httpx.ConnectTimeout):
            self._post(decoder.fail(Unreachable()))
        except httpx.HTTPError:
            self._post(decoder.fail(Crashed()))

    async def cancel(self, action: CancelAttempt) -> None:
        """Ask the head to cancel an attempt; a lost request does no harm."""
        body = {
            "request": action.request,
            "attempt": action.attempt,
            "keep_cache": action.keep_cache,
        }
        try:
            await fetch(
                self._client,
                "POST",
                action.chain.hops[0].address + "/v1/cancel",
                CANCEL_TIMEOUT,
                MAX_SIDE_BYTES,
                json=body,
            )
        except httpx.HTTPError:
            return

    async def probe(self, upstream: str, address: str, timeout: float) -> bool:
        """Return whether an upstream answers its liveness probe in time."""
        try:
            response = await fetch(
                self._client, "GET", address + "/livez", timeout, MAX_SIDE_BYTES
            )
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def _post_refusal(
        self, action: StartAttempt, response: httpx.Response
    ) -> None:
        content = b""
        with trio.move_on_after(REFUSAL_TIMEOUT):
            async for data in response.aiter_bytes():
                content += data
                if len(content) > MAX_REFUSAL_BYTES:
                    break
        failure = decode_refusal(response.status_code, content)
        upstream = action.chain.hops[0].upstream
        self._post(AttemptFailed(action.request, action.attempt, failure, upstream))

    def _post_events(self, events: list[Event]) -> None:
        for event in events:
            self._post(event)
