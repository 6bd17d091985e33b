"""Encoding of attempts and decoding of the engines' streams.

The protocol is described in ``docs/upstreams.md``.
"""

import typing as t

import orjson

from tarragonrudder.core.domain import chain as chains
from tarragonrudder.core.domain.action import StartAttempt
from tarragonrudder.core.domain.event import (
    AttemptEnded,
    AttemptFailed,
    CacheChanged,
    Event,
    LoadReported,
    Token,
    TokensArrived,
)
from tarragonrudder.core.domain.failure import (
    Crashed,
    Failure,
    Malformed,
    Refused,
    Stalled,
    Unreachable,
)

MAX_LINE_BYTES = 1 << 20
REFUSAL_KINDS = ("leaving", "overloaded", "refused")
_DATA_PREFIX = b"data: "


class StreamDecoder:
    """Decodes the byte stream of one attempt into events.

    Tokens that arrive together are combined into one event.
    """

    def __init__(self, request: str, attempt: int, head: str) -> None:
        self._request = request
        self._attempt = attempt
        self._head = head
        self._buffer = b""
        self.ended = False

    def feed(self, data: bytes) -> list[Event]:
        """Return the events in the next bytes of the stream."""
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        if len(self._buffer) > MAX_LINE_BYTES:
            return [self.fail(Malformed("a line is too long"))]
        events: list[Event] = []
        tokens: list[Token] = []
        for line in lines:
            if not line.startswith(_DATA_PREFIX):
                continue
            try:
                item = orjson.loads(line[len(_DATA_PREFIX) :])
                if not self._matches_attempt(item):
                    continue
                if "position" in item:
                    tokens.append(_decode_token(item))
                    continue
                events.extend(self._decode_other_event(item))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                events.append(self.fail(Malformed(f"{type(error).__name__}: {error}")))
            if self.ended:
                break
        if tokens:
            arrived = TokensArrived(self._request, self._attempt, tuple(tokens))
            events.insert(0, arrived)
        return events

    def fail(self, failure: Failure) -> Event:
        """End the stream; return the event of a failure at the head of the chain."""
        self.ended = True
        return AttemptFailed(self._request, self._attempt, failure, self._head)

    def _matches_attempt(self, item: dict[str, t.Any]) -> bool:
        return item["request"] == self._request and item["attempt"] == self._attempt

    def _decode_other_event(self, item: dict[str, t.Any]) -> list[Event]:
        if "load" in item:
            return [_decode_load(item)]
        if "cache" in item:
            return _decode_cache_changes(item)
        self.ended = True
        if "finish_reason" in item:
            return [
                AttemptEnded(
                    self._request,
                    self._attempt,
                    int(item["length"]),
                    str(item["finish_reason"]),
                    int(item.get("prompt_tokens", 0)),
                )
            ]
        upstream = item.get("upstream")
        if upstream is not None and not isinstance(upstream, str):
            raise TypeError("upstream must be a string")
        failure = _decode_failure(item["error"])
        if isinstance(failure, Stalled):
            # The stage that reports a stall can't know which later stage is slow.
            upstream = None
        return [AttemptFailed(self._request, self._attempt, failure, upstream)]


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
    # The prompt and the options are already JSON and may be large, so they are
    # inserted without parsing.
    parts = [
        orjson.dumps(head)[:-1],
        b',"messages":',
        action.prompt,
        b',"options":',
        action.options,
        b"}",
    ]
    return b"".join(parts)


def decode_refusal(status: int, content: bytes) -> Failure:
    """Return the failure for a status other than 200 of ``POST /v1/generate``."""
    try:
        kind = orjson.loads(content)["kind"]
    except (ValueError, KeyError, TypeError):
        return Malformed(f"status {status}")
    # Only these kinds guarantee that nothing was run.
    if kind not in REFUSAL_KINDS:
        return Malformed(f"status {status}")
    return Refused(leaving=kind == "leaving")


def _encode_cache(cache: chains.CacheSource) -> dict[str, t.Any]:
    match cache:
        case chains.FreshCache():
            return {"source": "fresh"}
        case chains.KeptCache(attempt=attempt):
            return {"source": "kept", "attempt": attempt}
        case chains.ImportedCache():
            return {
                "source": "imported",
                "attempt": cache.attempt,
                "upstream": cache.upstream,
                "address": cache.address,
            }
        case chains.ReplayedCache():
            return {"source": "replayed"}


def _decode_token(item: dict[str, t.Any]) -> Token:
    position, text = item["position"], item["text"]
    if not isinstance(position, int) or not isinstance(text, str) or position < 0:
        raise TypeError("a token needs a position from 0 on and a text")
    return Token(position, text)


def _decode_load(item: dict[str, t.Any]) -> Event:
    load = item["load"]
    return LoadReported(
        str(item["upstream"]),
        int(load["running"]),
        int(load["queued"]),
        float(load["age"]),
    )


def _decode_cache_changes(item: dict[str, t.Any]) -> list[Event]:
    events: list[Event] = []
    for change in item["cache"]:
        events.append(
            CacheChanged(
                str(item["upstream"]),
                int(change["sequence"]),
                str(change["prefix"]),
                bool(change["held"]),
            )
        )
    return events


def _decode_failure(kind: str) -> Failure:
    match kind:
        case "unreachable":
            return Unreachable()
        case "leaving":
            return Refused(leaving=True)
        case "refused":
            return Refused()
        case "stalled":
            return Stalled()
    return Crashed()
