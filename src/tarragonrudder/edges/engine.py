"""Client of the model engines; the protocol is in ``docs/upstreams.md``."""

import typing as t

import httpx
import orjson

from tarragonrudder.core import chain as chains
from tarragonrudder.core.action import CancelAttempt, StartAttempt
from tarragonrudder.core.event import (
    AttemptEnded,
    AttemptFailed,
    Crashed,
    Event,
    Failure,
    Malformed,
    Refused,
    Stalled,
    Token,
    TokensArrived,
    Unreachable,
)

CONNECT_TIMEOUT = 1.0  # seconds
MAX_LINE_BYTES = 1 << 20
_DATA = b"data: "


class EngineClient:
    """Starts attempts and follows their streams."""

    def __init__(self, post: t.Callable[[Event], None]) -> None:
        self._post = post
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
        timeout = httpx.Timeout(CONNECT_TIMEOUT, read=None)
        self._client = httpx.AsyncClient(timeout=timeout, limits=limits)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def follow(self, action: StartAttempt) -> None:
        """Send an attempt to the head of its chain and post what comes back."""
        head = action.chain.hops[0]
        try:
            async with self._client.stream(
                "POST",
                head.address + "/v1/generate",
                content=encode_attempt(action),
                headers={"content-type": "application/json"},
            ) as response:
                if response.status_code != 200:
                    await response.aread()
                    self._fail(action, _read_refusal(response), head.upstream)
                    return
                await self._read_stream(action, response)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            self._fail(action, Unreachable(), head.upstream)
        except httpx.HTTPError:
            self._fail(action, Crashed(), head.upstream)

    async def cancel(self, action: CancelAttempt) -> None:
        """Tell the head to drop an attempt; a lost message does no harm."""
        body = {
            "request": action.request,
            "attempt": action.attempt,
            "keep_cache": action.keep_cache,
        }
        try:
            await self._client.post(
                action.chain.hops[0].address + "/v1/cancel",
                json=body,
                timeout=CONNECT_TIMEOUT,
            )
        except httpx.HTTPError:
            return

    async def probe(self, upstream: str, address: str, timeout: float) -> bool:
        """Tell whether an upstream answers in time."""
        try:
            response = await self._client.get(address + "/livez", timeout=timeout)
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def _read_stream(
        self, action: StartAttempt, response: httpx.Response
    ) -> None:
        head = action.chain.hops[0].upstream
        rest = b""
        async for data in response.aiter_bytes():
            lines = (rest + data).split(b"\n")
            rest = lines.pop()
            if len(rest) > MAX_LINE_BYTES:
                self._fail(action, Malformed("a line is too long"), head)
                return
            if self._read_lines(action, lines):
                return
        # The stream ended without its terminator.
        self._fail(action, Crashed(), head)

    def _read_lines(self, action: StartAttempt, lines: list[bytes]) -> bool:
        """Post what the lines say; True after the end of the stream."""
        tokens: list[Token] = []
        last: Event | None = None
        for line in lines:
            if not line.startswith(_DATA):
                continue
            try:
                item = orjson.loads(line[len(_DATA) :])
                if (item["request"], item["attempt"]) != (
                    action.request,
                    action.attempt,
                ):
                    continue
                if "position" in item:
                    tokens.append(Token(int(item["position"]), str(item["text"])))
                    continue
                last = _read_terminator(action, item)
            except (ValueError, KeyError, TypeError) as error:
                last = AttemptFailed(
                    action.request,
                    action.attempt,
                    Malformed(str(error)),
                    action.chain.hops[0].upstream,
                )
            break
        if tokens:
            self._post(TokensArrived(action.request, action.attempt, tuple(tokens)))
        if last is not None:
            self._post(last)
        return last is not None

    def _fail(self, action: StartAttempt, failure: Failure, upstream: str) -> None:
        event = AttemptFailed(action.request, action.attempt, failure, upstream)
        self._post(event)


def encode_attempt(action: StartAttempt) -> bytes:
    """Return the body of ``POST /v1/generate``."""
    hops = []
    for hop in action.chain.hops:
        hops.append(
            {
                "upstream": hop.upstream,
                "address": hop.address,
                "first": hop.layers.first,
                "last": hop.layers.last,
                "cache": _encode_cache(hop.cache),
            }
        )
    head = {
        "request": action.request,
        "attempt": action.attempt,
        "model": action.chain.model,
        "version": action.chain.version,
        "chain": hops,
        "emitted": action.emitted,
        "max_tokens": action.max_tokens,
        "order": action.order,
        "level": action.level,
    }
    # The prompt is JSON already and may be large: it is not parsed again.
    prefix = orjson.dumps(head)[:-1]
    return (
        prefix
        + b',"messages":'
        + action.prompt
        + b',"options":'
        + action.options
        + b"}"
    )


def _encode_cache(cache: chains.CacheSource) -> dict[str, t.Any]:
    match cache:
        case chains.FreshCache():
            return {"source": "fresh"}
        case chains.KeptCache(attempt=attempt):
            return {"source": "kept", "attempt": attempt}
        case chains.ImportedCache(attempt=attempt, upstream=upstream):
            return {"source": "imported", "attempt": attempt, "upstream": upstream}
        case chains.ReplayedCache():
            return {"source": "replayed"}


def _read_refusal(response: httpx.Response) -> Failure:
    try:
        body = orjson.loads(response.content)
        return Refused(leaving=body.get("kind") == "leaving")
    except (ValueError, AttributeError):
        return Malformed(f"status {response.status_code}")


def _read_terminator(action: StartAttempt, item: dict[str, t.Any]) -> Event:
    if "finish_reason" in item:
        return AttemptEnded(
            action.request,
            action.attempt,
            int(item["length"]),
            str(item["finish_reason"]),
        )
    kind = item["error"]
    failure: Failure = Crashed()
    if kind in ("leaving", "refused"):
        failure = Refused(leaving=kind == "leaving")
    if kind == "unreachable":
        failure = Unreachable()
    upstream = item.get("upstream")
    if kind == "timeout":
        # The stage that waited can't tell which of those behind it is slow.
        return AttemptFailed(action.request, action.attempt, Stalled(), None)
    return AttemptFailed(action.request, action.attempt, failure, upstream)
