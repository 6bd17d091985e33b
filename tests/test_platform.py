import json
import typing as t

import httpx
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from tarragonrudder.core.domain.action import Guard
from tarragonrudder.edges.platform_client import (
    PlatformClient,
    PlatformError,
    PlatformOutcomeUnknown,
)

Answer: t.TypeAlias = httpx.Response | Exception
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=6,
)
FIELDS = ("header", "revision", "succeeded", "kvs", "key", "value", "result", "ID")
GATEWAY_OBJECTS = st.dictionaries(
    st.sampled_from(FIELDS),
    JSON | st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=3),
    max_size=4,
)


def make_client(answer: Answer) -> PlatformClient:
    def respond(request: httpx.Request) -> httpx.Response:
        if isinstance(answer, Exception):
            raise answer
        return answer

    return PlatformClient("http://platform", 1.0, httpx.MockTransport(respond))


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (httpx.ConnectError("refused"), PlatformError),
        (httpx.ConnectTimeout("no route"), PlatformError),
        (httpx.PoolTimeout("busy"), PlatformError),
        (httpx.ReadTimeout("late"), PlatformOutcomeUnknown),
        (httpx.ReadError("reset"), PlatformOutcomeUnknown),
        (httpx.WriteError("broken pipe"), PlatformOutcomeUnknown),
        (httpx.RemoteProtocolError("closed"), PlatformOutcomeUnknown),
        (httpx.Response(503), PlatformOutcomeUnknown),
        (httpx.Response(500), PlatformOutcomeUnknown),
        (httpx.Response(400), PlatformOutcomeUnknown),
        (httpx.Response(200, text="{"), PlatformOutcomeUnknown),
        (httpx.Response(200, json=[]), PlatformOutcomeUnknown),
        (httpx.Response(200, json={"succeeded": True}), PlatformOutcomeUnknown),
    ],
)
async def test_failed_write_is_ambiguous_unless_never_sent(
    answer: Answer, expected: type[Exception]
) -> None:
    with pytest.raises(expected):
        await make_client(answer).swap("/a", 0, b"x")
    with pytest.raises(expected):
        await make_client(answer).remove(["/a"], "/b", [Guard("/c", 1)])


async def test_a_swap_compares_its_guards() -> None:
    seen = []

    def respond(request: httpx.Request) -> httpx.Response:
        seen.append(json.loads(request.content))
        return httpx.Response(
            200, json={"succeeded": True, "header": {"revision": "8"}}
        )

    client = PlatformClient("http://platform", 1.0, httpx.MockTransport(respond))
    assert await client.swap("/a", 3, b"x", guards=[Guard("/b", 5)]) == 8
    revisions = [item["mod_revision"] for item in seen[0]["compare"]]
    assert revisions == ["3", "5"]


@given(answer=JSON | GATEWAY_OBJECTS)
def test_any_answer_is_read_or_refused(answer: t.Any) -> None:
    async def call() -> None:
        client = make_client(httpx.Response(200, json=answer))
        for work in (
            lambda: client.get("/a"),
            lambda: client.read_prefix("/a"),
            lambda: client.swap("/a", 0, b""),
            lambda: client.grant(5.0),
            lambda: client.renew(7),
        ):
            try:
                await work()
            except (PlatformError, PlatformOutcomeUnknown):
                continue

    trio.run(call)


@pytest.mark.parametrize(
    "line",
    ["{", "[]", '{"result": 3}', '{"result": {"events": [{"kv": {}}]}}', "{}"],
)
async def test_malformed_watch_event_raises(line: str) -> None:
    client = make_client(httpx.Response(200, text=line + "\n"))
    with pytest.raises(PlatformError):
        async for _ in client.watch("/a", 1):
            continue


async def test_cancelled_watch_raises() -> None:
    text = json.dumps({"result": {"canceled": True, "compact_revision": "9"}})
    client = make_client(httpx.Response(200, text=text + "\n"))
    with pytest.raises(PlatformError, match="list again"):
        async for _ in client.watch("/a", 1):
            continue
