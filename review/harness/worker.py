"""Stand-in of a plain worker as the users' pages describe it."""

import collections
import itertools
import random
import typing as t
from dataclasses import dataclass, field

import h11
import trio

READ_BYTES = 65536  # a read
LOOK_UP = "/status/"


@dataclass
class Arrival:
    """A request that reached a worker."""

    worker: str
    request: str
    at: float
    headers: dict[bytes, bytes]
    target: str = ""
    size: int = 0  # bytes of its body that have been read
    ran: bool = False
    status: int = 0
    ended: float = 0.0


@dataclass
class Worker:
    """A worker with slots and a short queue; it is sound unless told otherwise.

    Attributes
    ----------
    work : float
        Seconds that a request takes, once it has been read.
    read_rate : float
        Bytes a second that it reads on a connection.
    error_share : float
        Share of the look-ups that it runs and answers with its own 500.
    """

    name: str
    service: str = "plain"
    zone: str = "milano-a"
    slots: int = 6
    queue: int = 12
    work: float = 0.03
    read_rate: float = 20e6
    error_share: float = 0.0
    sequence: int = 1
    address: str = ""
    note: t.Callable[[str], None] = lambda text: None
    arrivals: list[Arrival] = field(default_factory=list)
    limiter: trio.CapacityLimiter | None = None

    def describe(self) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": 1700000000000,
        }

    async def run(self, task_status: t.Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        self.limiter = trio.CapacityLimiter(self.slots)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=512)
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(stream, http):
                http.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_one(self, stream: trio.SocketStream, http: h11.Connection) -> bool:
        arrival = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_BYTES)
                await trio.sleep(len(data) / self.read_rate)
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                headers = dict(event.headers)
                request = headers.get(b"attempt-id", b"").decode()
                target = event.target.decode()
                arrival = Arrival(
                    self.name, request, trio.current_time(), headers, target
                )
                self.arrivals.append(arrival)
                self.note(f"{self.name} gets {request}")
            elif isinstance(event, h11.Data):
                arrival.size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        answer = [(b"Attempt-Id", request.encode())]
        if headers.get(b"expect-instance", b"").decode() != self.name:
            await self._respond(
                stream, http, arrival, 421, [(b"Instance-Id", self.name.encode())]
            )
            return True
        if self.limiter.statistics().tasks_waiting >= self.queue:
            await self._respond(
                stream, http, arrival, 503, [*answer, (b"Not-Executed", b"1")]
            )
            return True
        async with trio.open_nursery() as nursery:
            gone = False

            async def watch() -> None:
                nonlocal gone
                try:
                    gone = not await stream.receive_some(1)
                except trio.BrokenResourceError:
                    gone = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            async with self.limiter:
                arrival.ran = True
                self.note(f"{self.name} runs {request} ({arrival.size} bytes)")
                await trio.sleep(self.work)
            nursery.cancel_scope.cancel()
        if gone:
            self.note(f"{self.name}: the caller of {request} has left")
            return False
        is_look_up = arrival.target.startswith(LOOK_UP)
        status = 500 if is_look_up and random.random() < self.error_share else 200
        seal = (b"Response-Seal", f"seal-{self.name}-{request}".encode())
        await self._respond(stream, http, arrival, status, [*answer, seal])
        return True

    async def _respond(
        self,
        stream: trio.SocketStream,
        http: h11.Connection,
        arrival: Arrival,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        body = make_body(self.name, arrival.request) if arrival.ran else b""
        length = (b"Content-Length", str(len(body)).encode())
        data = http.send(h11.Response(status_code=status, headers=[*headers, length]))
        data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
        arrival.status, arrival.ended = status, trio.current_time()
        self.note(f"{self.name} answers {arrival.request}: {status}")
        await stream.send_all(data)


def make_body(worker: str, request: str) -> bytes:
    """Return the body of a worker's answer, of the sheet's mean size."""
    text = f"answer of {worker} to {request} ".encode()
    return (text * (800 // len(text) + 1))[:800]


def group_by_request(workers: t.Iterable[Worker]) -> dict[str, list[Arrival]]:
    """Return all arrivals by the request's id."""
    found: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in itertools.chain(*(worker.arrivals for worker in workers)):
        found[arrival.request].append(arrival)
    return found
