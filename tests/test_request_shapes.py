"""Requests of any legal shape are read whole; others are refused with their status."""

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from tarragonrudder.core.admission.intake_budget import IntakeLimits
from tarragonrudder.core.domain.route import CallerLimits
from tarragonrudder.edges.connection import (
    MAX_FIELDS,
    ReceivedRequest,
    ServerConnection,
    UnreadableRequest,
)
from tarragonrudder.edges.intake_gate import IntakeGate, IntakeTicket

LIMITS = CallerLimits(body_bytes=64 * 1024, header_timeout=60.0, idle_timeout=60.0)
# Less than one request holds: alone it is served all the same.
SCARCE = IntakeLimits(total_bytes=1, connections=10)
LINE = b"POST /look/1 HTTP/1.1\r\n"
HOST = b"Host: host.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BODY = bytes(range(256)) * 16


def open_ticket(limits: IntakeLimits) -> IntakeTicket:
    gate = IntakeGate("front", limits, lambda *_, **__: None)
    ticket = gate.open("127.0.0.1", lambda: None)
    assert ticket is not None
    return ticket


async def read(pieces: list[bytes], **options: int):
    """Return what a connection makes of the pieces, and what is left for later."""
    client, server = trio.testing.memory_stream_pair()
    ticket = open_ticket(SCARCE)
    connection = ServerConnection(server, lambda: LIMITS, ticket, **options)
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            for piece in pieces:
                await client.send_all(piece)

        nursery.start_soon(send)
        found = await connection.read_request()
        nursery.cancel_scope.cancel()
    return found


def encode_chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    found = b""
    for start in range(0, len(body), size):
        piece = body[start : start + size]
        found += b"%x%s\r\n%s\r\n" % (len(piece), extension, piece)
    return found + b"0\r\n"


def make_sized(body: bytes, fields: bytes = b"") -> bytes:
    return LINE + HOST + fields + b"Content-Length: %d\r\n\r\n" % len(body) + body


def make_chunked(body: bytes, size: int, extension: bytes = b"", trailer=b"") -> bytes:
    chunks = encode_chunks(body, size, extension)
    return LINE + HOST + CHUNKED + b"\r\n" + chunks + trailer + b"\r\n"


LEGAL = [
    pytest.param(make_sized(BODY), BODY, id="one piece"),
    pytest.param(make_sized(b""), b"", id="empty"),
    pytest.param(make_chunked(BODY, 1), BODY, id="one-byte chunks"),
    pytest.param(make_chunked(BODY, 1000, b";a=b"), BODY, id="extensions"),
    pytest.param(make_chunked(BODY, 99, trailer=b"a: b\r\n"), BODY, id="trailer"),
    pytest.param(make_sized(BODY, b"a:\r\n" * 4000), BODY, id="4,000 fields"),
    pytest.param(make_sized(b"x" * 65536), b"x" * 65536, id="longest body"),
]


@pytest.mark.parametrize(("data", "body"), LEGAL)
@pytest.mark.parametrize("size", [1 << 20, 700, 1], ids=["whole", "pieces", "bytes"])
async def test_legal_request_alone_is_read(data, body, size):
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    found = await read(pieces)
    assert isinstance(found, ReceivedRequest)
    assert (found.method, found.target, found.body) == ("POST", "/look/1", body)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(LINE + HOST + b"Content-Length: 65537\r\n\r\n", 413, id="length"),
        pytest.param(make_chunked(b"x" * 65537, 4096), 413, id="without length"),
        pytest.param(LINE + b"a: " + b"x" * 20000, 431, id="long head"),
        pytest.param(
            make_chunked(BODY, 1, b";e=" + b"x" * 1000), 400, id="all framing"
        ),
        pytest.param(
            LINE + HOST + CHUNKED + b"\r\n1" + b";" * 20000, 431, id="long extension"
        ),
        pytest.param(
            make_chunked(BODY, 99, trailer=b"a: b\r\n" * 20000), 431, id="long trailers"
        ),
        pytest.param(LINE + HOST + CHUNKED + b"\r\nzz\r\n", 400, id="no chunk"),
    ],
)
async def test_request_outside_the_limits_is_refused(data, status):
    found = await read([data])
    assert isinstance(found, UnreadableRequest)
    assert found.status == status


@pytest.mark.parametrize(("fields", "is_read"), [(8, True), (9, False)])
async def test_bound_on_fields(fields, is_read):
    extra = b"a:\r\n" * (fields - 2)
    found = await read([make_sized(BODY, extra)], max_fields=8)
    assert isinstance(found, ReceivedRequest) is is_read
    assert is_read or found.status == 431


def test_no_head_within_the_bytes_has_too_many_fields():
    assert CallerLimits().header_bytes // len(b"a:\r\n") <= MAX_FIELDS


async def test_request_without_room_is_refused_as_not_run():
    gate = IntakeGate("front", SCARCE, lambda *_, **__: None)
    served = gate.open("127.0.0.1", lambda: None)
    assert served is not None
    assert served.hold(10)
    assert served.serve()
    ticket = gate.open("127.0.0.2", lambda: None)
    client, server = trio.testing.memory_stream_pair()
    connection = ServerConnection(server, lambda: LIMITS, ticket)
    await client.send_all(make_sized(BODY))
    found = await connection.read_request()
    assert isinstance(found, UnreadableRequest)
    assert found.status == 503


@st.composite
def write_requests(draw):
    """Draw a legal request as bytes, its body, and where it is split."""
    body = draw(st.binary(max_size=200))
    if draw(st.booleans()):
        data = make_sized(body, b"a: b\r\n" * draw(st.integers(0, 20)))
    else:
        extension = draw(st.sampled_from([b"", b";a", b";a=b", b';a="b"']))
        trailer = b"t: u\r\n" * draw(st.integers(0, 3))
        data = make_chunked(body, draw(st.integers(1, 50)), extension, trailer)
    cuts = draw(st.lists(st.integers(0, len(data)), max_size=8))
    edges = sorted({0, len(data), *cuts})
    pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    return pieces, body


@given(write_requests())
def test_split_of_a_legal_request_does_not_matter(request_and_body):
    pieces, body = request_and_body
    found = trio.run(read, pieces)
    assert isinstance(found, ReceivedRequest)
    assert found.body == body


@given(write_requests(), st.data())
def test_damaged_request_is_refused_or_read_as_another(request_and_body, data):
    pieces, _ = request_and_body
    whole = bytearray(b"".join(pieces))
    place = data.draw(st.integers(0, len(whole) - 1))
    whole[place] = data.draw(st.integers(0, 255))

    async def read_briefly():
        with trio.move_on_after(60.0):
            return await read([bytes(whole)])

    found = trio.run(read_briefly, clock=trio.testing.MockClock(autojump_threshold=0))
    if isinstance(found, UnreadableRequest):
        assert 400 <= found.status < 500 or found.status == 501
    if isinstance(found, ReceivedRequest):
        assert len(found.body) <= len(whole)
