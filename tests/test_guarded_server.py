"""Hypercorn on bounded connections, on loopback."""

import contextlib

import pytest
import trio
from hypercorn.config import Config
from quart import Response, request
from quart_trio import QuartTrio

from tarragonrudder.core.admission.intake_budget import IntakeLimits
from tarragonrudder.edges.guarded_server import GuardedServer
from tarragonrudder.edges.intake_gate import IntakeGate
from tests.standins.cluster import find_ports

LIMITS = IntakeLimits(total_bytes=64 * 1024, connections=4)
MAX_BODY_BYTES = 32 * 1024
TIME = 20.0  # seconds after which something hangs


class Site:
    """An application behind a gate, on two addresses."""

    def __init__(self) -> None:
        self.addresses = [("127.0.0.1", port) for port in find_ports(2)]
        self.go_on = trio.Event()
        self.events: list[str] = []
        self.gate = IntakeGate("side", LIMITS, self._log)
        app = QuartTrio(__name__)

        @app.get("/slow")
        async def wait() -> Response:
            await self.go_on.wait()
            return Response(b"slow")

        @app.post("/size")
        async def measure() -> Response:
            return Response(str(len(await request.get_data())).encode())

        @app.get("/long")
        async def send_much() -> Response:
            return Response(b"x" * (16 << 20))

        config = Config()
        config.bind = [f"{host}:{port}" for host, port in self.addresses]
        config.accesslog = config.errorlog = None
        self.server = GuardedServer(app, config, self.gate, MAX_BODY_BYTES, 50)

    def _log(self, event: str, _: str | None, **fields: object) -> None:
        self.events.append(event)

    async def connect(self, number: int = 0, port: int = 0) -> trio.SocketStream:
        sock = trio.socket.socket()
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind(("127.0.0.1", port))
        await sock.connect(self.addresses[number])
        return trio.SocketStream(sock)


async def ask(stream: trio.SocketStream, data: bytes) -> bytes:
    """Send data and return the first bytes of the answer, empty if it closed."""
    try:
        await stream.send_all(data)
        found = b""
        while b"\r\n\r\n" not in found:
            piece = await stream.receive_some(65536)
            if not piece:
                break
            found += piece
    except trio.BrokenResourceError:
        return b""
    return found


def make_request(line: str, body: bytes = b"", fields: int = 0) -> bytes:
    head = f"{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"a: b\r\n" * fields + b"\r\n" + body


@contextlib.asynccontextmanager
async def open_site():
    site = Site()
    with trio.fail_after(TIME):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.server.run)
            while True:
                with contextlib.suppress(OSError):
                    stream = await site.connect()
                    await trio.aclose_forcefully(stream)
                    break
                await trio.sleep(0.01)
            while len(site.gate.budget):
                await trio.sleep(0.01)
            yield site
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(make_request("POST /size", b"x" * 32768), b"200", id="longest"),
        pytest.param(make_request("POST /size", b"x" * 32769), b"413", id="too long"),
        pytest.param(make_request("GET /none"), b"404", id="no route"),
        pytest.param(make_request("POST /size", b"", 40), b"200", id="fields"),
        pytest.param(make_request("POST /size", b"", 60), b"431", id="more fields"),
    ],
)
async def test_single_request(data, status):
    async with open_site() as site:
        answer = await ask(await site.connect(), data)
        assert answer.split(b" ")[1] == status


async def test_kept_connection_serves_many_requests_and_holds_nothing():
    async with open_site() as site:
        stream = await site.connect()
        for _ in range(5):
            answer = await ask(stream, make_request("POST /size", b"x" * 20000))
            assert answer.split(b" ")[1] == b"200"
        while site.gate.budget.held:
            await trio.sleep(0.01)
        assert site.gate.closed == 0


async def test_served_connection_outlives_a_crowd_of_unused_ones():
    async with open_site() as site:
        served = await site.connect()
        await served.send_all(make_request("GET /slow"))
        crowd = [await site.connect() for _ in range(20)]
        while site.gate.closed < 17:
            await trio.sleep(0.01)
        site.go_on.set()
        assert b"200" in await ask(served, b"")
        assert len(site.gate.budget) <= LIMITS.connections
        assert "connection_failed" not in site.events
        for stream in crowd:
            await trio.aclose_forcefully(stream)


async def test_one_client_port_at_two_addresses():
    async with open_site() as site:
        first = await site.connect(0)
        port = first.socket.getsockname()[1]
        second = await site.connect(1, port)
        for stream in (first, second):
            answer = await ask(stream, make_request("POST /size", b"x" * 100))
            assert b"200" in answer
        while site.gate.budget.held:
            await trio.sleep(0.01)


async def test_stop_does_not_wait_for_a_client_that_reads_nothing():
    async with open_site() as site:
        stream = await site.connect()
        await stream.send_all(make_request("GET /long"))
        while not site.gate.budget.held:
            await trio.sleep(0.01)
        await trio.sleep(0.2)
