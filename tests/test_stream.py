import json
import typing as t

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonrudder.core.domain.action import StartAttempt
from tarragonrudder.core.domain.chain import (
    Chain,
    FreshCache,
    Hop,
    ImportedCache,
    KeptCache,
    ReplayedCache,
)
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
    Malformed,
    Refused,
    Stalled,
    Unreachable,
)
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.edges.engine_protocol import (
    MAX_LINE_BYTES,
    StreamDecoder,
    decode_refusal,
    encode_attempt,
)

OWN = {"request": "r", "attempt": 2}


def encode(*items: dict[str, t.Any]) -> bytes:
    return b"".join(b"data: " + json.dumps(i).encode() + b"\n\n" for i in items)


def own(**fields: t.Any) -> bytes:
    return encode({**OWN, **fields})


def tokens(*pairs: tuple[int, str]) -> TokensArrived:
    return TokensArrived("r", 2, tuple(Token(*pair) for pair in pairs))


def failed(failure: t.Any, upstream: str | None) -> AttemptFailed:
    return AttemptFailed("r", 2, failure, upstream)


@pytest.mark.parametrize(
    ("data", "events"),
    [
        (own(position=0, text="a"), [tokens((0, "a"))]),
        (
            own(position=0, text="a") + own(position=1, text="b"),
            [tokens((0, "a"), (1, "b"))],
        ),
        (
            own(position=3, text="d") + own(finish_reason="stop", length=4),
            [tokens((3, "d")), AttemptEnded("r", 2, 4, "stop")],
        ),
        (encode({"request": "x", "attempt": 2, "position": 0, "text": "a"}), []),
        (encode({"request": "r", "attempt": 1, "position": 0, "text": "a"}), []),
        (b": comment\n\nevent: x\n", []),
        (
            own(upstream="e", load={"running": 3, "queued": 1, "age": 0.5}),
            [LoadReported("e", 3, 1, 0.5)],
        ),
        (
            own(upstream="e", cache=[{"sequence": 4, "prefix": "p", "held": True}]),
            [CacheChanged("e", 4, "p", True)],
        ),
        (own(error="crashed", upstream="e"), [failed(Crashed(), "e")]),
        (own(error="unreachable", upstream="e"), [failed(Unreachable(), "e")]),
        (own(error="leaving", upstream="e"), [failed(Refused(True), "e")]),
        (own(error="refused", upstream="e"), [failed(Refused(), "e")]),
        (own(error="stalled", upstream="e"), [failed(Stalled(), None)]),
        (own(error="crashed"), [failed(Crashed(), None)]),
    ],
)
def test_stream_is_decoded(data: bytes, events: list[Event]) -> None:
    assert StreamDecoder("r", 2, "head").feed(data) == events
    # Fed byte by byte, the decoder returns the same events, except that tokens are
    # not combined.
    decoder = StreamDecoder("r", 2, "head")
    single: list[Event] = []
    for byte in data:
        single.extend(decoder.feed(bytes([byte])))
    assert _split_tokens(single) == _split_tokens(events)


def _split_tokens(events: list[Event]) -> list[t.Any]:
    parts: list[t.Any] = []
    for event in events:
        parts.extend(event.tokens if isinstance(event, TokensArrived) else [event])
    return parts


@pytest.mark.parametrize(
    "data",
    [
        b"data: {\n",
        b"data: []\n",
        b"data: {}\n",
        own(position=-1, text="a"),
        own(position="0", text="a"),
        own(position=0),
        own(position=0, text=7),
        own(finish_reason="stop"),
        own(error="crashed", upstream=["e"]),
        own(load=7, upstream="e"),
        own(cache=[{}], upstream="e"),
        own(),
        b"data: " + b"x" * (MAX_LINE_BYTES + 1),
    ],
)
def test_malformed_stream_fails_the_attempt(data: bytes) -> None:
    decoder = StreamDecoder("r", 2, "head")
    (event,) = decoder.feed(data)
    assert isinstance(event, AttemptFailed)
    assert isinstance(event.failure, Malformed)
    assert decoder.ended


@given(st.lists(st.binary(max_size=60), max_size=20))
def test_any_bytes_decode_to_events(pieces: list[bytes]) -> None:
    decoder = StreamDecoder("r", 2, "head")
    for piece in pieces:
        decoder.feed(b"data: " + piece)


@pytest.mark.parametrize(
    ("status", "content", "failure"),
    [
        (503, b'{"kind": "leaving"}', Refused(leaving=True)),
        (503, b'{"kind": "overloaded"}', Refused()),
        (500, b"oops", Malformed("status 500")),
        (500, b"[]", Malformed("status 500")),
        (500, b'{"error": "x"}', Malformed("status 500")),
        (500, b'{"kind": "internal"}', Malformed("status 500")),
    ],
)
def test_refusal_is_decoded(status: int, content: bytes, failure: t.Any) -> None:
    assert decode_refusal(status, content) == failure


def test_attempt_is_encoded() -> None:
    hops = []
    caches = [
        FreshCache(),
        KeptCache(1),
        ImportedCache(1, "z", "http://z"),
        ReplayedCache(),
    ]
    for index, cache in enumerate(caches):
        layers = LayerRange(index, index)
        hops.append(Hop(f"e{index}", f"http://e{index}", layers, cache))
    chain = Chain("m", "1", tuple(hops))
    prompt = b'[{"role":"user","content":"x"}]'
    action = StartAttempt("r", 2, chain, prompt, b'{"seed":7}', ("a",), 9, 55, 1)
    body = json.loads(encode_attempt(action))
    assert [hop["cache"]["source"] for hop in body["chain"]] == [
        "fresh",
        "kept",
        "imported",
        "replayed",
    ]
    assert body["chain"][2]["cache"]["address"] == "http://z"
    assert body["messages"] == [{"role": "user", "content": "x"}]
    assert body["options"] == {"seed": 7}
    assert (body["emitted"], body["max_tokens"], body["order"]) == (["a"], 9, 55)
