"""Faulty answers and planned stops behind a node that passes requests on."""

import contextlib

import pytest
import trio

from tests.site.test_cut_node import ask_regularly, list_runs, open_cut_site
from tests.site.test_framing import (
    BEGUN,
    CHUNKED,
    DEADLINE,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    KERNEL_BYTES,
    MARGIN,
    NUMBERS,
    OWN,
    READ_BYTES,
    SAFE,
    STATUS,
    STREAM,
    UNSAFE,
    chunk,
)
from tests.site.upstream import Behavior, RawAnswer
from tests.soak.proxy import Cut

CUT_ANSWERS = {
    "status-line": b"HTTP/1.1 200 O",
    "header-line": STATUS + b"Attempt-Id: {I",
    "head": STATUS + OWN,
    "head-and-half-a-line": STATUS + OWN + b"Content-Len",
    "length": STATUS + OWN + b"Content-Length: 99\r\n\r\n",
    "chunked": CHUNKED + chunk(b"answer"),
}
STOP_TIME = 9.0  # seconds in which a node that is stopped has ended
EVERY_TARGET = (STREAM, SAFE, UNSAFE)


async def open_relaying_site(stack):
    """Return a site, a node that passes all requests on, and the other nodes."""
    site, node, others = await open_cut_site(stack)
    node.cut(Cut.RESET)
    await ask_regularly(node, SAFE, 1.0)
    return site, node, others


def check_failed(target, answer):
    if target == STREAM and answer.status == 200:
        assert not answer.whole
        assert answer.event_ids == NUMBERS[: len(answer.event_ids)]
        return
    assert (answer.status in (502, 503, 504), answer.whole) == (True, True)


@pytest.mark.parametrize(
    ("target", "data"),
    [
        *(
            pytest.param(target, data, id=f"{case}-{target}")
            for target in EVERY_TARGET
            for case, data in CUT_ANSWERS.items()
        ),
        pytest.param(STREAM, BEGUN + b"id: 4\ndata: tok", id="begun-stream"),
    ],
)
async def test_answer_that_broke_off_behind_a_peer_is_not_whole(target, data):
    async with contextlib.AsyncExitStack() as stack:
        site, node, _ = await open_relaying_site(stack)
        for upstream in site.upstreams:
            upstream.behavior = Behavior(raw=RawAnswer(data))
        answer = await node.ask(target, name="own-id", deadline=DEADLINE)
        check_failed(target, answer)
        if target == UNSAFE:
            assert len(list_runs(site, "own-id")) <= 1


@pytest.mark.parametrize("target", EVERY_TARGET)
@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(ENDLESS_HEADS["header-lines"], id="head"),
        pytest.param(ENDLESS_BODIES["unframed"], id="body"),
        pytest.param(ENDLESS_BODIES["chunked"], id="chunks"),
    ],
)
async def test_answer_without_end_behind_a_peer_is_given_up(raw, target):
    async with contextlib.AsyncExitStack() as stack:
        site, node, _ = await open_relaying_site(stack)
        before = {each.name: len(each.arrivals) for each in site.upstreams}
        for upstream in site.upstreams:
            upstream.behavior = Behavior(raw=RawAnswer(*raw))
        answer = await node.ask(target, deadline=DEADLINE)
        check_failed(target, answer)
        assert answer.took < DEADLINE + MARGIN
        for upstream in site.upstreams:
            for arrival in upstream.arrivals[before[upstream.name] :]:
                assert arrival.sent < READ_BYTES + KERNEL_BYTES


@pytest.mark.parametrize("stopped", [1, 2])
@pytest.mark.parametrize("target", EVERY_TARGET)
async def test_planned_stop_of_a_peer_cuts_no_request_that_it_runs(target, stopped):
    async with contextlib.AsyncExitStack() as stack:
        _, node, others = await open_relaying_site(stack)
        async with trio.open_nursery() as nursery:
            for other in others[:stopped]:
                nursery.start_soon(other.daemon.stop)
            answers = await ask_regularly(node, target, STOP_TIME)
        served = sum(answer.status == 200 for answer in answers)
    assert all(answer.whole for answer in answers)
    assert {answer.status for answer in answers} <= {200, 503}
    if stopped == 1:
        assert served >= 0.95 * len(answers)
