"""Serves an application with hypercorn on bounded connections.

Hypercorn waits without end for a client that does not read, also when it is told to
stop, and accepts any number of connections.
"""

import contextlib
import functools
import typing as t

import trio
from hypercorn.config import Config
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from quart_trio import QuartTrio

from tarragonrudder.core.admission.intake_budget import FIELD_BYTES
from tarragonrudder.edges.connection import FRAMING_RATIO, MAX_FRAMING_BYTES
from tarragonrudder.edges.intake_gate import IntakeGate, IntakeTicket

# Seconds that a client has for a write, and bytes a second that it must take beyond
# that. A lossy link may be silent for some seconds.
SEND_SPAN = 10.0
LEAST_SEND_RATE = 4096
HANDSHAKE_TIMEOUT = 10.0  # seconds of TLS

Message: t.TypeAlias = dict[str, t.Any]
Address: t.TypeAlias = tuple[str, int]


class GuardedStream(trio.abc.HalfCloseableStream):
    """A connection whose received and unsent bytes are counted and bounded.

    Parameters
    ----------
    max_request_bytes : int
        Bytes that may arrive before something is answered.
    """

    def __init__(
        self, stream: trio.SocketStream, ticket: IntakeTicket, max_request_bytes: int
    ) -> None:
        self.socket = stream.socket
        self._stream = stream
        self._ticket = ticket
        self._max_request_bytes = max_request_bytes
        self._held = 0
        self._open = 0  # requests whose head has arrived; HTTP/2 has several

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive data; ends the connection if too much of it is unanswered."""
        data = await self._stream.receive_some(max_bytes)
        if data and not self.charge(len(data)):
            await self.aclose()
            raise trio.ClosedResourceError("the client sent too much")
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; closes the connection if the client takes it too slowly."""
        span = SEND_SPAN + len(data) / LEAST_SEND_RATE
        with trio.move_on_after(span) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            await self.aclose()
            raise trio.BrokenResourceError("the client reads too slowly")

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until data may be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """End the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        self._ticket.close()
        await self._stream.aclose()

    def charge(self, size: int) -> bool:
        """Count more bytes of a request; False if the connection must be closed."""
        self._held += size
        return self._held <= self._max_request_bytes and self._ticket.hold(self._held)

    def begin(self) -> None:
        """Note that the head of a request has arrived."""
        self._open += 1

    def serve(self) -> None:
        """Note that a whole request has arrived."""
        self._ticket.serve()

    def end(self) -> None:
        """Note that a request has been answered or given up."""
        self._open -= 1
        if self._open:
            return
        self._held = 0
        self._ticket.end()


class GuardedServer:
    """Serves one application on several addresses.

    Parameters
    ----------
    gate : IntakeGate
        Decides which connections are kept.
    max_body_bytes : int
        Longest body of a request.
    max_fields : int
        Most fields of a request's head.
    """

    def __init__(
        self,
        app: QuartTrio,
        config: Config,
        gate: IntakeGate,
        max_body_bytes: int,
        max_fields: int,
    ) -> None:
        app.config["MAX_CONTENT_LENGTH"] = max_body_bytes
        config.ssl_handshake_timeout = HANDSHAKE_TIMEOUT
        self._app = app
        self._config = config
        self._ssl_context = config.create_ssl_context()
        self._gate = gate
        self._max_request_bytes = MAX_FRAMING_BYTES + (
            (1 + FRAMING_RATIO) * max_body_bytes
        )
        self._max_fields = max_fields
        self._context = WorkerContext(None)
        self._streams: dict[tuple[Address, Address], GuardedStream] = {}

    async def run(
        self, wait_stopped: t.Callable[[], t.Awaitable[None]] = trio.sleep_forever
    ) -> None:
        """Serve until told to stop and the last connections have closed.

        They have the configuration's graceful timeout for that.
        """
        lifespan = Lifespan(self._run_app, self._config, {})
        async with trio.open_nursery() as nursery:
            await nursery.start(lifespan.handle_lifespan)
            await lifespan.wait_for_startup()
            async with trio.open_nursery() as connections:
                await self._accept_until(wait_stopped, connections)
                timeout = self._config.graceful_timeout
                connections.cancel_scope.deadline = trio.current_time() + timeout
            await lifespan.wait_for_shutdown()
            nursery.cancel_scope.cancel()

    async def _accept_until(
        self, wait_stopped: t.Callable[[], t.Awaitable[None]], connections: trio.Nursery
    ) -> None:
        listeners = self._open_listeners()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    self._serve,
                    listeners,
                    handler_nursery=connections,
                )
            )
            await wait_stopped()
            nursery.cancel_scope.cancel()
        await self._context.terminated.set()

    def _open_listeners(self) -> list[trio.SocketListener]:
        listeners = []
        sockets = self._config.create_sockets()
        for sock in (*sockets.secure_sockets, *sockets.insecure_sockets):
            sock.listen(self._config.backlog)
            found = trio.socket.from_stdlib_socket(sock)
            listeners.append(trio.SocketListener(found))
        return listeners

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            client = stream.socket.getpeername()[:2]
            ends = (client, stream.socket.getsockname()[:2])
        except OSError:  # reset meanwhile
            await trio.aclose_forcefully(stream)
            return
        ticket = self._gate.open(client[0], stream.socket.close)
        if ticket is None:
            await trio.aclose_forcefully(stream)
            return
        guarded = GuardedStream(stream, ticket, self._max_request_bytes)
        self._streams[ends] = guarded
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_close_when_cancelled, stream)
                await self._serve_stream(guarded)
                nursery.cancel_scope.cancel()
        except Exception as error:  # a faulty connection must not stop the node
            self._gate.report_fault(error)
        finally:
            ticket.close()
            if self._streams.get(ends) is guarded:
                del self._streams[ends]

    async def _serve_stream(self, guarded: GuardedStream) -> None:
        served: trio.abc.Stream = guarded
        if self._ssl_context is not None:
            served = trio.SSLStream(
                guarded, self._ssl_context, server_side=True, https_compatible=True
            )
        await TCPServer(self._run_app, self._config, self._context, {}, served)

    async def _run_app(
        self,
        scope: Message,
        receive: t.Callable[[], t.Awaitable[Message]],
        send: t.Callable[[Message], t.Awaitable[None]],
        *_: t.Any,
    ) -> None:
        """Run the application, and note the beginning and end of a request."""
        stream = None
        if scope["type"] == "http":
            ends = (tuple(scope["client"]), tuple(scope["server"]))
            stream = self._streams.get(ends)
        if stream is None:
            await self._app(scope, receive, send)
            return
        fields = len(scope["headers"])
        if fields > self._max_fields or not stream.charge(fields * FIELD_BYTES):
            await _refuse(send, 431 if fields > self._max_fields else 503)
            return

        async def receive_noted() -> Message:
            message = await receive()
            if message["type"] == "http.request" and not message.get("more_body"):
                stream.serve()
            return message

        is_open = True

        def end() -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                stream.end()

        async def send_noted(message: Message) -> None:
            await send(message)
            if message["type"] == "http.response.body" and not message.get("more_body"):
                end()

        stream.begin()
        try:
            await self._app(scope, receive_noted, send_noted)
        finally:
            end()


async def _close_when_cancelled(stream: trio.SocketStream) -> None:
    """Close a connection at once; a write in hypercorn can't be cancelled."""
    try:
        await trio.sleep_forever()
    finally:
        with contextlib.suppress(OSError):
            stream.socket.close()


async def _refuse(send: t.Callable[[Message], t.Awaitable[None]], status: int) -> None:
    headers = [(b"content-length", b"0"), (b"connection", b"close")]
    if status == 503:
        headers.append((b"retry-after", b"1"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
