"""Stand-in of clients that keep connections, as the users' pages describe them."""

import contextlib
import itertools
import random
from dataclasses import dataclass, field

import h11
import trio
from review.harness.deployment import HOST, KEY, Deployment, Node, Record

DEADLINE = 2.5  # seconds, of the site's sheet
PERIOD = 0.25  # mean seconds between two requests of an ordinary client
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)
_numbers = itertools.count(1)


@dataclass
class Call:
    """One client attempt, and what its client saw."""

    name: str
    node: str
    method: str
    target: str
    kept: bool = False  # sent on a connection that had carried a request before
    begun: float = 0.0
    sent: float = 0.0  # when its last byte was sent; 0 if never
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """One client with a connection that it keeps."""

    def __init__(self, node: Node, record: Record) -> None:
        self.node = node
        self._record = record
        self._stream: trio.SocketStream | None = None
        self._http: h11.Connection | None = None

    async def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
            self._stream = None

    async def ask(
        self, method: str, target: str, body: bytes = b"", deadline: float = DEADLINE
    ) -> Call:
        """Send a request, and read the answer until the deadline."""
        call = Call(f"a{next(_numbers):08x}", self.node.name, method, target)
        call.begun = trio.current_time()
        with trio.move_on_after(deadline):
            try:
                if self._stream is None:
                    self._stream = await trio.open_tcp_stream(
                        self.node.ip, self.node.front
                    )
                    self._http = h11.Connection(h11.CLIENT)
                else:
                    call.kept = True
                    self._http.start_next_cycle()
                await self._exchange(call, body, deadline)
            except OSError:
                pass
        call.ended = trio.current_time()
        if not call.whole or b"close" in call.headers.get(b"connection", b""):
            await self.close()
        self._record.note(
            f"{call.node} {call.name} {method} {target} {len(body)} bytes: "
            f"{call.status or 'no answer'}{'' if call.whole else ', not whole'}"
            f" after {call.ended - call.begun:.3f} s"
        )
        return call

    async def _exchange(self, call: Call, body: bytes, deadline: float) -> None:
        headers = [
            ("Host", HOST),
            ("Attempt-Id", call.name),
            ("Deadline-Ms", str(int(deadline * 1000))),
            ("Authorization", f"Bearer {KEY}"),
        ]
        if body or call.method == "POST":
            headers.append(("Content-Length", str(len(body))))
        http, stream = self._http, self._stream
        data = http.send(
            h11.Request(method=call.method, target=call.target, headers=headers)
        )
        if body:
            data += http.send(h11.Data(data=body))
        data += http.send(h11.EndOfMessage()) or b""
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                with contextlib.suppress(*BROKEN):
                    await stream.send_all(data)
                    call.sent = trio.current_time()

            nursery.start_soon(send)
            # Raised within the nursery, it would be wrapped in an exception group.
            with contextlib.suppress(*BROKEN):
                await self._read(call)
            nursery.cancel_scope.cancel()

    async def _read(self, call: Call) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                call.status, call.headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                call.body += bytes(event.data)
            else:
                call.whole = isinstance(event, h11.EndOfMessage)
                return


async def ask_ordinarily(
    node: Node, deployment: Deployment, calls: list[Call], until: float
) -> None:
    """Look up and record in turn, on a kept connection."""
    client = Client(node, deployment.record)
    await trio.sleep(PERIOD * random.random())
    while trio.current_time() < until:
        for method, target, body in (
            ("GET", "/status/1", b""),
            ("POST", "/roll/1", b"b" * 600),
        ):
            calls.append(await client.ask(method, target, body, DEADLINE))
            await trio.sleep(PERIOD * random.uniform(0.5, 1.5))
    await client.close()
