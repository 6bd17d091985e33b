"""Tests of answers with odd framing and of answers without end."""

import gc
import time

import orjson
import pytest
import trio

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.forwarding import state
from tarragonrudder.edges.relay_interfaces import DetourOutcome
from tarragonrudder.platform import metadata_store, upstream_client
from tarragonrudder.platform.decoding import decode_entry
from tarragonrudder.platform.metadata_store import (
    Lease,
    MetadataStore,
    Position,
    StoreError,
)
from tarragonrudder.platform.upstream_client import PlatformUpstreamClient
from tests.site.site import open_site
from tests.site.upstream import Behavior, RawAnswer, UpstreamStandIn

# Bytes that the kernel's buffers of one connection on loopback may hold.
KERNEL_BYTES = 12 << 20
# Bytes that a node may read of an answer: MAX_ANSWER_BYTES and its framing.
READ_BYTES = 6 << 20
# Seconds in which a node notices that an answer at full speed has no end.
NOTICE_TIME = 1.0
# Seconds that a caller of an endless answer waits, and that a node may need on top.
DEADLINE = 1.5
MARGIN = 0.5
# Bytes that a node may read of an answer of the store and of a peer.
MAX_STORE_BYTES = 80 << 20
MAX_PEER_BYTES = 20 << 20
# Bytes that a side call may read: bodies are a few kilobytes.
SIDE_BYTES = 2 << 20
# Seconds of processor time for which one answer may hold up all others.
MAX_STEP = 0.05

STATUS = b"HTTP/1.1 200 OK\r\n"
OWN = b"Attempt-Id: {ID}\r\nResponse-Seal: {SEAL}\r\n"
UNFRAMED = STATUS + OWN + b"\r\n"
CHUNKED = STATUS + OWN + b"Transfer-Encoding: chunked\r\n\r\n"
FAILED = b"HTTP/1.1 500 Failed\r\n" + OWN
NUMBERS = [1, 2, 3, 4, 5, 6]
STREAM, SAFE, UNSAFE = "/draft/1", "/look/1", "/record/1"


def make_event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def make_events(*numbers):
    return b"".join(make_event(number) for number in numbers)


def chunk(data, size=1 << 20, extension=b""):
    """Encode a body as chunks of `size` bytes, without the last one."""
    found = b""
    for start in range(0, len(data), size):
        piece = data[start : start + size]
        found += b"%x%s\r\n%s\r\n" % (len(piece), extension, piece)
    return found


def make_upstreams(target, other):
    """Return one or two upstreams of the route's service; the first is preferred."""
    if target == STREAM:
        found = [
            UpstreamStandIn("e-1", layers=(0, 79)),
            UpstreamStandIn("e-2", layers=(0, 79), kind="slow"),
        ]
    else:
        found = [
            UpstreamStandIn("p-1", service="plain"),
            UpstreamStandIn("p-2", service="plain", zone="zone-b"),
        ]
    return found if other else found[:1]


async def play(target, other, raw, deadline=DEADLINE):
    """Return a caller's answer and the request that got the raw answer.

    The connection of the raw answer is closed on return, or the test fails.
    """
    async with open_site() as site:
        upstreams = make_upstreams(target, other)
        upstreams[0].behavior = Behavior(raw=raw)
        await site.add(*upstreams)
        node = await site.add_node()
        answer = await node.ask(target, deadline=deadline)
        (arrival,) = upstreams[0].arrivals
        with trio.fail_after(MARGIN):
            while not arrival.lasted:
                await trio.sleep(0.01)
    return answer, arrival


def check_body(target, answer, upstream):
    assert (answer.status, answer.whole) == (200, True)
    if target == STREAM:
        assert answer.body == make_events(*NUMBERS)
    else:
        assert answer.body == b"answer of p-%d" % upstream


def check_failed_over(target, other, answer):
    """Check for a right answer of the other upstream, or a true error."""
    if other and target != UNSAFE:
        check_body(target, answer, 2)
    elif target == STREAM and answer.status == 200:
        assert not answer.whole
        assert answer.event_ids == NUMBERS[: len(answer.event_ids)]
    else:
        assert (answer.status in (502, 504), answer.whole) == (True, True)


every_target = pytest.mark.parametrize(
    "target",
    [
        pytest.param(STREAM, id="stream"),
        pytest.param(SAFE, id="idempotent"),
        pytest.param(UNSAFE, id="non-idempotent"),
    ],
)
with_and_without_other = pytest.mark.parametrize(
    "other", [pytest.param(True, id="other"), pytest.param(False, id="alone")]
)


@pytest.fixture(autouse=True)
def shorten_resume_wait(monkeypatch):
    # How long a stream waits for another path isn't tested here.
    monkeypatch.setattr(state, "RESUME_WAIT", 0.05)


@every_target
@pytest.mark.parametrize("piece", [1, 65536])
@pytest.mark.parametrize(
    "framing", ["unframed", "unframed-1.0", "chunked", "tiny-chunks", "length"]
)
async def test_sound_answer_in_any_framing(target, piece, framing):
    body = make_events(*NUMBERS) if target == STREAM else b"answer of p-1"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    answers = {
        "unframed": UNFRAMED + body,
        "unframed-1.0": UNFRAMED.replace(b"1.1", b"1.0") + body,
        "chunked": CHUNKED + chunk(body) + b"0\r\n\r\n",
        "tiny-chunks": CHUNKED + chunk(body, 1, b";x=y") + b"0\r\nX: y\r\n\r\n",
        "length": STATUS + OWN + length + body,
    }
    raw = RawAnswer(answers[framing], piece=piece)
    answer, arrival = await play(target, True, raw)
    check_body(target, answer, 1)
    assert answer.headers[b"response-seal"] in (b"seal-e-1", b"seal-p-1")


@with_and_without_other
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize(
    ("target", "data"),
    [
        (STREAM, UNFRAMED + make_events(1, 2, 3)[:-4]),
        (STREAM, UNFRAMED + make_events(1, 2, 3)[:-1]),
        (STREAM, UNFRAMED + b"id: 1"),
        (STREAM, CHUNKED + chunk(make_events(1, 2, 3))),
        (STREAM, CHUNKED + chunk(make_events(1, 2, 3)) + b"0\r\n"),
        (STREAM, CHUNKED + chunk(make_events(1, 2, 3)[:-4]) + b"0\r\n\r\n"),
        (STREAM, CHUNKED + chunk(make_events(1, 2, 3))[:-9]),
        (SAFE, CHUNKED + chunk(b"answer")),
        (UNSAFE, CHUNKED + chunk(b"answer")),
        (SAFE, STATUS + OWN + b"Content-Length: 99\r\n\r\nanswer"),
        (UNSAFE, STATUS + OWN + b"Content-Length: 99\r\n\r\nanswer"),
        (SAFE, STATUS + OWN),
        (UNSAFE, STATUS + OWN),
    ],
)
async def test_answer_that_broke_off(target, data, reset, other):
    answer, _ = await play(target, other, RawAnswer(data, reset=reset), 0.8)
    check_failed_over(target, other, answer)


@with_and_without_other
@pytest.mark.parametrize("piece", [1, 65536])
@pytest.mark.parametrize(
    ("target", "data"),
    [
        (STREAM, UNFRAMED + make_events(1, 2, 3)),
        (STREAM, UNFRAMED + make_events(1, 2, 3)[:-4]),
        (STREAM, UNFRAMED),
        (SAFE, UNFRAMED + b"answer of p-1"),
        (UNSAFE, UNFRAMED + b"answer of p-1"),
    ],
)
async def test_unframed_answer_that_was_reset(target, data, piece, other):
    raw = RawAnswer(data, piece=piece, reset=True)
    answer, _ = await play(target, other, raw, 0.8)
    check_failed_over(target, other, answer)


ENDLESS_HEADS = {
    "header-lines": (STATUS + OWN, b"X-Header: value\r\n"),
    "a-header-line": (STATUS + OWN + b"X-Header: ", b"value"),
    "a-status-line": (b"HTTP/1.1 200 ", b"very fine "),
    "no-HTTP": (b"", b"\x16\x03\x01\x00"),
    "1xx": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "long-1xx": (b"", b"HTTP/1.1 103 Hints\r\nX: " + b"x" * 20000 + b"\r\n\r\n"),
}
ENDLESS_BODIES = {
    "unframed": (UNFRAMED, b"data"),
    "chunked": (CHUNKED, chunk(b"d" * 50000)),
    "long-extensions": (CHUNKED, chunk(b"d", extension=b";x=" + b"x" * 20000)),
    "an-extension": (CHUNKED + b"1;x=", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: value\r\n"),
    "a-huge-length": (STATUS + OWN + b"Content-Length: 9999999999\r\n\r\n", b"data"),
    "unframed-failure": (FAILED + b"\r\n", b"data"),
}
BEGUN = UNFRAMED + make_events(1, 2, 3)
ENDLESS_STREAMS = {
    "an-event": (BEGUN + b"id: 4\ndata: ", b"token "),
    "event-lines": (BEGUN + b"id: 4\n", b"data: token\n"),
    "unnumbered-events": (BEGUN, b"data: token\n\n"),
    "comments": (BEGUN, b": comment\n\n"),
    "comment-lines": (BEGUN, b": comment\n"),
    "blank-lines": (BEGUN, b"\n"),
    "a-number": (BEGUN + b"id: ", b"4"),
}


def check_endless(target, other, answer, arrival):
    check_failed_over(target, other, answer)
    assert arrival.sent < READ_BYTES + KERNEL_BYTES
    assert answer.took < DEADLINE + MARGIN


@with_and_without_other
@every_target
@pytest.mark.parametrize("case", ENDLESS_HEADS)
async def test_head_without_end(case, target, other):
    raw = RawAnswer(*ENDLESS_HEADS[case])
    answer, arrival = await play(target, other, raw)
    check_endless(target, other, answer, arrival)
    assert arrival.lasted < NOTICE_TIME


@with_and_without_other
@every_target
@pytest.mark.parametrize("case", ENDLESS_BODIES)
async def test_body_without_end(case, target, other):
    raw = RawAnswer(*ENDLESS_BODIES[case])
    answer, arrival = await play(target, other, raw)
    check_endless(target, other, answer, arrival)
    assert arrival.lasted < NOTICE_TIME


class StepTimer(trio.abc.Instrument):
    """Measures the longest processor time for which one task held up the others."""

    def __init__(self):
        self.longest = 0.0
        self._begun = time.thread_time()

    def before_task_step(self, task):
        self._begun = time.thread_time()

    def after_task_step(self, task):
        self.longest = max(self.longest, time.thread_time() - self._begun)


@pytest.fixture
def no_garbage_collection():
    # The test process has so many objects that a collection takes 0.06 s.
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize(
    ("target", "size"), [(STREAM, 1), (STREAM, 40), (SAFE, 1), (UNSAFE, 1)]
)
async def test_body_in_small_chunks_does_not_hold_up_other_requests(
    target, size, no_garbage_collection
):
    # The node parsed the thousands of chunks of one read without a pause.
    await play(target, False, RawAnswer(UNFRAMED))  # first calls take longer
    raw = RawAnswer(CHUNKED, chunk(b"d" * size))
    timer = StepTimer()
    trio.lowlevel.add_instrument(timer)
    answer, arrival = await play(target, False, raw, 0.5)
    trio.lowlevel.remove_instrument(timer)
    assert (answer.status in (502, 504), answer.whole) == (True, True)
    assert answer.took < 0.5 + MARGIN
    assert arrival.sent < READ_BYTES + KERNEL_BYTES
    assert timer.longest < MAX_STEP


@with_and_without_other
@pytest.mark.parametrize("case", ENDLESS_STREAMS)
async def test_stream_without_end(case, other):
    raw = RawAnswer(*ENDLESS_STREAMS[case])
    answer, arrival = await play(STREAM, other, raw)
    check_endless(STREAM, other, answer, arrival)
    assert arrival.lasted < NOTICE_TIME


@every_target
@pytest.mark.parametrize("value", [b"9" * 5000, b"\xb2", b"0", b"-1", b"x"])
async def test_sound_answer_with_an_odd_keep_alive_timeout(value, target):
    # A number of over 4300 digits ended the request with a closed connection.
    body = make_events(*NUMBERS) if target == STREAM else b"answer of p-1"
    framing = b"Keep-Alive: timeout=%s\r\nContent-Length: %d\r\n\r\n"
    raw = RawAnswer(STATUS + OWN + framing % (value, len(body)) + body)
    answer, _ = await play(target, False, raw)
    check_body(target, answer, 1)


JSON = STATUS + b"Content-Type: application/json\r\n"
ENDLESS_REPORTS = {
    "unframed": (JSON + b"\r\n", b" " * 5000),
    "chunked": (JSON + b"Transfer-Encoding: chunked\r\n\r\n", chunk(b" " * 5000)),
    "failure": (b"HTTP/1.1 409 Conflict\r\n\r\n", b" " * 5000),
    "header-lines": (JSON, b"X-Header: value\r\n"),
    "1xx": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "trickled-1xx": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "trickled": (JSON + b"\r\n", b" "),
}
SIDE_CALLS = {
    "report": lambda client, each: client.fetch_report(each),
    "order": lambda client, each: client.order_placement(each, LayerRange(0, 9), 1),
    "detour": lambda client, each: client.request_detour(each, "own-id", ()),
}


@pytest.mark.parametrize("call", SIDE_CALLS)
@pytest.mark.parametrize("case", ENDLESS_REPORTS)
async def test_side_call_with_an_answer_without_end(case, call, monkeypatch):
    # Such a call never ended, and its answer filled the memory.
    for name in ("REPORT_TIMEOUT", "ORDER_TIMEOUT", "DETOUR_TIMEOUT"):
        monkeypatch.setattr(upstream_client, name, 0.1)
    pause, piece = (0.02, 1) if case.startswith("trickled") else (0.0, 65536)
    upstream = UpstreamStandIn("e-1", layers=(0, 79))
    upstream.control = RawAnswer(*ENDLESS_REPORTS[case], piece=piece, pause=pause)
    client = PlatformUpstreamClient(
        "node-1", lambda *each: None, lambda *each, **fields: None
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(upstream.run)
        entry = orjson.dumps(upstream.describe())
        begun = trio.current_time()
        with trio.move_on_after(2.0):
            outcome = await SIDE_CALLS[call](client, decode_entry("e-1", entry))
        assert trio.current_time() - begun < 1.0
        with trio.fail_after(MARGIN):
            while not upstream.arrivals[0].lasted:
                await trio.sleep(0.01)
        await client.close()
        nursery.cancel_scope.cancel()
    expected = {"report": None, "order": "lost", "detour": DetourOutcome(False)}
    assert outcome == expected[call]
    assert upstream.arrivals[0].sent < SIDE_BYTES + KERNEL_BYTES


@pytest.mark.parametrize(
    "rest",
    [
        pytest.param(b"data: token\n\n", id="no-number"),
        pytest.param(make_event(5), id="gap"),
        pytest.param(b"id: " + b"4" * 5000 + b"\n\n", id="huge-number"),
    ],
)
async def test_events_before_a_faulty_one_are_not_lost(rest):
    # Events that came in one piece with a faulty one were taken for forwarded.
    raw = RawAnswer(CHUNKED + chunk(make_events(1, 2, 3) + rest))
    answer, _ = await play(STREAM, True, raw)
    check_body(STREAM, answer, 2)


SLOW_PIECE = 4  # bytes
SLOW_PAUSE = 0.02  # seconds between two pieces; shorter than any stall timeout
TRICKLED = {
    "1xx": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "header-line": (STATUS + OWN + b"X-Header: ", b"valu"),
    "body": (CHUNKED, chunk(b"data")),
    "failure": (FAILED + b"\r\n", b"data"),
}


@pytest.mark.parametrize(
    ("target", "other", "deadline"),
    [
        pytest.param(STREAM, True, DEADLINE, id="stream-other"),
        pytest.param(STREAM, False, 0.4, id="stream-alone"),
        pytest.param(SAFE, True, DEADLINE, id="idempotent-other"),
        pytest.param(SAFE, False, 0.4, id="idempotent-alone"),
        pytest.param(UNSAFE, True, 0.4, id="non-idempotent-other"),
    ],
)
@pytest.mark.parametrize("case", TRICKLED)
async def test_trickled_answer_without_end(case, target, other, deadline):
    raw = RawAnswer(*TRICKLED[case], piece=SLOW_PIECE, pause=SLOW_PAUSE)
    answer, _ = await play(target, other, raw, deadline)
    check_failed_over(target, other, answer)
    assert answer.took < deadline + MARGIN


@pytest.mark.parametrize(
    ("data", "endless"),
    [
        pytest.param(BEGUN + b"id: 4\ndata: ", b"token ", id="an-event"),
        pytest.param(BEGUN, make_event(3), id="seen-events"),
    ],
)
async def test_stream_does_not_wait_for_data_that_yields_no_event(data, endless):
    # Any data counted as progress, so that no other upstream was tried.
    raw = RawAnswer(data, endless, piece=SLOW_PIECE, pause=SLOW_PAUSE)
    answer, _ = await play(STREAM, True, raw)
    check_body(STREAM, answer, 2)


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.2])
async def test_data_that_yields_no_event_ends_no_search_for_another_path(
    delay, monkeypatch
):
    # Each piece of it closed the connection under way to another upstream, so that a
    # slow connection was never made (known failure "an-event").
    open_soon = upstream_client.open_connection

    async def open_later(address):
        await trio.sleep(delay)
        return await open_soon(address)

    monkeypatch.setattr(upstream_client, "open_connection", open_later)
    raw = RawAnswer(
        BEGUN + b"id: 4\ndata: ", b"token ", piece=SLOW_PIECE, pause=SLOW_PAUSE
    )
    answer, _ = await play(STREAM, True, raw)
    check_body(STREAM, answer, 2)


async def test_stream_that_repeats_events_is_given_up():
    # A stream at full speed may yield nothing but events that were seen before.
    answer, arrival = await play(STREAM, True, RawAnswer(BEGUN, make_events(1, 2, 3)))
    check_endless(STREAM, True, answer, arrival)
    assert arrival.lasted < NOTICE_TIME


STORE_CALLS = {
    "list": lambda store: store.list("servers/"),
    "watch": lambda store: store.watch("servers/", Position(1, 0), 0.1),
    "write": lambda store: store.write("key", b"value"),
    "renew": lambda store: store.renew_lease(Lease(1, 0)),
}


@pytest.mark.parametrize("call", STORE_CALLS)
@pytest.mark.parametrize("case", ["unframed", "1xx", "trickled"])
async def test_store_call_with_an_answer_without_end(case, call, monkeypatch):
    # Such a call never ended, and its answer filled the memory.
    monkeypatch.setattr(metadata_store, "CALL_TIMEOUT", 0.1)
    monkeypatch.setattr(metadata_store, "WATCH_GRACE", 0.0)
    pause, piece = (0.02, 1) if case == "trickled" else (0.0, 65536)
    stand_in = UpstreamStandIn("store")
    stand_in.control = RawAnswer(*ENDLESS_REPORTS[case], piece=piece, pause=pause)
    async with trio.open_nursery() as nursery:
        await nursery.start(stand_in.run)
        store = MetadataStore(stand_in.address, lambda *_: None)
        with trio.fail_after(2.0), pytest.raises(StoreError):
            await STORE_CALLS[call](store)
        await store.close()
        nursery.cancel_scope.cancel()
    assert stand_in.arrivals[0].sent < MAX_STORE_BYTES + KERNEL_BYTES


@pytest.mark.parametrize("case", ["unframed", "1xx", "trickled"])
async def test_peer_with_an_answer_without_end(case, monkeypatch):
    # Gossip with all peers waited for the answer of one.
    pause, piece = (0.02, 1) if case == "trickled" else (0.0, 65536)
    async with open_site() as site:
        stand_in = UpstreamStandIn("peer")
        stand_in.control = RawAnswer(*ENDLESS_REPORTS[case], piece=piece, pause=pause)
        await site.nursery.start(stand_in.run)
        await site.add(*make_upstreams(SAFE, True))
        await site.add_node(seeds=(stand_in.address,))
        with trio.fail_after(2.0):
            while not (stand_in.arrivals and stand_in.arrivals[0].lasted):
                await trio.sleep(0.02)
    assert stand_in.arrivals[0].sent < MAX_PEER_BYTES + KERNEL_BYTES
