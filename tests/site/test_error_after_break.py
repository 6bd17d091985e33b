"""Streams that had begun and broke off, and errors of the upstreams asked next."""

import contextlib

import pytest
import trio

from tests.site.site import open_site
from tests.site.test_cut_node import ask_regularly
from tests.site.upstream import Behavior, RawAnswer, UpstreamStandIn
from tests.soak.proxy import Cut

EVENTS = 6
BROKEN_AFTER = 3
HEAD = b"Attempt-Id: {ID}\r\nResponse-Seal: {SEAL}\r\n"
TEXT = b"error: the engine failed"


def make_answer(status, body, head=HEAD, framed=True):
    length = b"Content-Length: %d\r\n" % len(body) if framed else b""
    return b"HTTP/1.1 %d Status\r\n" % status + head + length + b"\r\n" + body


def make_event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


INNER = make_answer(500, TEXT, b"")
# Answer to the attempt that goes on after event 3.
ERRORS = {
    "failure": make_answer(500, TEXT),
    "failure with an event's look": make_answer(500, make_event(4)),
    "failure without a length": make_answer(500, TEXT, framed=False),
    "failure without a signature": make_answer(500, TEXT, b"Attempt-Id: {ID}\r\n"),
    "failure without an id": make_answer(500, TEXT, b""),
    "failure without a body": make_answer(500, b""),
    "gateway's failure": make_answer(504, TEXT),
    "redirect": make_answer(302, TEXT, HEAD + b"Location: /x\r\n"),
    "refusal": make_answer(503, TEXT, b"Not-Executed: 1\r\n"),
    "refusal that ran": make_answer(503, TEXT),
    "text instead of events": make_answer(200, TEXT),
    "text behind events": make_answer(200, make_event(4) + TEXT),
    "text without a length": make_answer(200, TEXT, framed=False),
    "text as an event": make_answer(200, TEXT + b"\n\n" + make_event(4)),
    "answer within the answer": make_answer(200, INNER),
    "answer behind events": make_answer(200, make_event(4) + INNER),
    "answer before an event": make_answer(200, INNER + b"\n\n" + make_event(4)),
    "answer joined to an event": make_answer(200, INNER + b"\n" + make_event(4)),
    "no answer": b"",
    "bytes that are no answer": TEXT,
}


async def open_breaking_site(stack, way, error):
    """Return the node to ask, which runs streams itself or by another node."""
    site = await stack.enter_async_context(open_site())
    for number in range(3):
        await site.add(UpstreamStandIn(f"e-{number}", layers=(0, 79), events=EVENTS))
        await site.add(UpstreamStandIn(f"p-{number}", service="plain"))
    node = await site.add_node()
    if way == "peer":
        node = await site.add_node(seeds=(node.control,), linked=True)
        await trio.sleep(1.5)
        node.cut(Cut.RESET)
        await ask_regularly(node, "/look/1", 1.0)
    for upstream in site.upstreams:
        upstream.behavior = Behavior(cut_after=BROKEN_AFTER)
        upstream.resumed = Behavior(raw=RawAnswer(error))
    return site, node


@pytest.mark.parametrize("case", ERRORS)
@pytest.mark.parametrize("way", ["direct", "peer"])
async def test_error_after_a_break_is_no_part_of_the_stream(way, case):
    # Callers found its text or head amid their streams, or a complete end.
    async with contextlib.AsyncExitStack() as stack:
        _, node = await open_breaking_site(stack, way, ERRORS[case])
        for number in range(2):
            answer = await node.ask(f"/draft/{number}")
            assert answer.status == 200
            ids = answer.event_ids
            assert ids == list(range(1, len(ids) + 1))
            assert len(ids) >= BROKEN_AFTER
            assert answer.body == b"".join(make_event(number) for number in ids)
            assert not answer.whole  # no upstream has sent all six events


@pytest.mark.parametrize("way", ["direct", "peer"])
async def test_stream_goes_on_behind_the_break(way):
    async with contextlib.AsyncExitStack() as stack:
        site, node = await open_breaking_site(stack, way, b"")
        for upstream in site.upstreams:
            upstream.resumed = Behavior()
        answer = await node.ask("/draft/1")
        assert answer.whole
        assert answer.event_ids == list(range(1, EVENTS + 1))
