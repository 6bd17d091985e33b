"""What an event of a stream makes a node do, counted and not timed."""

import contextlib

import pytest
import trio
import trio.testing

from tarragonrudder.edges.connection import BrokenConnection, ClientConnection
from tarragonrudder.platform.ingress import Ingress
from tests.site.site import open_site
from tests.site.test_framing import CHUNKED, STATUS, chunk, make_event, make_events
from tests.site.upstream import Behavior, RawAnswer, UpstreamStandIn

EVENTS = 45
# Turns of a request besides those of its events: admission, search, connection, end.
TURNS_PER_REQUEST = 30
PARTS = 45  # chunks of a body
PARSES_PER_ANSWER = 10  # besides those of its chunks


class TurnCounter(trio.abc.Instrument):
    """Counts how often the tasks of callers' connections run."""

    def __init__(self):
        self.turns = 0
        self.tasks = set()

    def before_task_step(self, task):
        self.turns += task in self.tasks


@pytest.fixture
def counter(monkeypatch):
    counter = TurnCounter()
    serve = Ingress._serve_connection

    async def serve_counted(self, *args, **options):
        counter.tasks.add(trio.lowlevel.current_task())
        await serve(self, *args, **options)

    monkeypatch.setattr(Ingress, "_serve_connection", serve_counted)
    return counter


async def ask(counter, upstream):
    """Return the answer to a request, whose turns are counted."""
    async with open_site() as site:
        await site.add(upstream)
        node = await site.add_node()
        trio.lowlevel.add_instrument(counter)
        try:
            return await node.ask("/draft/1")
        finally:
            trio.lowlevel.remove_instrument(counter)


async def test_an_event_takes_one_turn(counter):
    engine = UpstreamStandIn("e-1", layers=(0, 79), events=EVENTS)
    answer = await ask(counter, engine)
    assert answer.whole and answer.event_ids == list(range(1, EVENTS + 1))
    assert counter.turns <= EVENTS + TURNS_PER_REQUEST


async def test_events_that_arrive_together_take_one_turn(counter):
    engine = UpstreamStandIn("e-1", layers=(0, 79))
    body = chunk(make_events(*range(1, EVENTS + 1)), size=len(make_event(1)))
    engine.behavior = Behavior(raw=RawAnswer(CHUNKED + body + b"0\r\n\r\n"))
    answer = await ask(counter, engine)
    assert answer.whole and answer.event_ids == list(range(1, EVENTS + 1))
    assert counter.turns <= TURNS_PER_REQUEST


def make_body(size=40, extension=b""):
    return chunk(b"x" * size * PARTS, size, extension)


@pytest.mark.parametrize(
    "body",
    [
        make_body() + b"0\r\n\r\n",
        make_body(size=1) + b"0\r\n\r\n",
        make_body(extension=b";" + b"y" * 50) + b"0\r\n\r\n",
        make_body(),
        make_body()[:-9],
        make_body() + b"no chunk\r\n",
        make_body() + b"0\r\n" + b"a: b\r\n" * PARTS,
    ],
    ids=["sound", "bytes", "extension", "cut", "cut amid", "garbage", "trailers"],
)
@pytest.mark.parametrize("together", [True, False])
async def test_odd_parts_of_a_body_take_no_more_parses(body, together):
    left, right = trio.socket.socketpair()
    connection = ClientConnection(trio.SocketStream(left), "address")
    head = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
    parses = 0
    parse = connection._http.next_event

    def parse_counted():
        nonlocal parses
        parses += 1
        return parse()

    connection._http.next_event = parse_counted
    pieces = [head, *split_lines(body)]
    if together:
        pieces = [b"".join(pieces)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_pieces, right, pieces)
        await connection.send("GET", "/", [("Host", "h")], b"")
        with contextlib.suppress(BrokenConnection):
            await connection.read_head()
            while await connection.read_body() is not None:
                pass
        nursery.cancel_scope.cancel()
    connection.close()
    right.close()
    assert parses <= max(PARTS, len(pieces)) + PARSES_PER_ANSWER


def split_lines(data):
    """Return pieces of two lines each, of a chunk its length and its data."""
    lines = data.splitlines(keepends=True)
    return [b"".join(lines[at : at + 2]) for at in range(0, len(lines), 2)]


async def send_pieces(sock, pieces):
    for piece in pieces:
        await sock.send(piece)
        await trio.testing.wait_all_tasks_blocked()
    sock.shutdown(trio.socket.SHUT_WR)


async def test_garbage_behind_a_chunk_is_noticed_at_once():
    left, right = trio.socket.socketpair()
    connection = ClientConnection(trio.SocketStream(left), "address")
    await connection.send("GET", "/", [("Host", "h")], b"")
    await right.send(STATUS + b"Transfer-Encoding: chunked\r\n\r\n1\r\nxyz")
    await connection.read_head()
    assert await connection.read_body() == b"x"
    with trio.fail_after(1.0), pytest.raises(BrokenConnection):
        await connection.read_body()
    connection.close()
    right.close()
