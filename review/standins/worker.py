"""Stand-in of a worker: an engine that holds layers, or a plain service."""

import asyncio
import itertools
import json
import time
import typing as t
from dataclasses import dataclass, field

from review.standins.http import Request, Response, start_server
from review.standins.store import Store

HEARTBEAT = 1.2  # seconds, "heartbeat-ms"
LAPSE = 3.0 * HEARTBEAT  # seconds of silence after which an entry is removed
LOAD_TIME = 5.0  # seconds to load all layers, "load-s"
LAYERS = 80  # of the model
_seals = itertools.count(1)
_by_address: dict[str, "Worker"] = {}


@dataclass
class Run:
    """A request that a worker began to work on, and how its connection ended."""

    request: str
    target: str
    tenant: str
    worker: str
    at: float
    whole: bool = False


@dataclass
class Worker:
    """One worker, registered in the store under its id.

    Attributes
    ----------
    kind : str
        Accelerator of an engine; empty for a plain service.
    work : float
        Seconds of work for a plain request.
    events, gap : int, float
        Events of a stream, and the seconds between two.
    extra_headers : tuple
        Headers that all its answers have besides.
    runs : list of Run
        What it has begun to work on.
    orders : list
        Orders that it took.
    """

    name: str
    service: str
    store: Store
    zone: str = "zone-a"
    kind: str = ""
    work: float = 0.03
    events: int = 20
    gap: float = 0.02
    extra_headers: tuple[tuple[str, str], ...] = ()
    runs: list[Run] = field(default_factory=list)
    orders: list[dict[str, t.Any]] = field(default_factory=list)
    layers: tuple[int, int] | None = None
    state: str = "ready"
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    is_down: bool = False
    _sequence: int = 0
    _fence: int = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Serve and register until the loop ends, or a crash."""
        self._server, self.address = await start_server(self._handle, host, port)
        self.is_down = False
        _by_address[self.address] = self
        self._beating = asyncio.create_task(self._beat())

    async def crash(self, back_after: float | None) -> None:
        """Crash; start again empty, under a new id, after some seconds, or never."""
        self.is_down = True
        self._beating.cancel()
        self._server.close()
        old, host, port = self.name, *self.address.split(":")
        self._lapse = asyncio.create_task(self._remove_entry(old))
        if back_after is None:
            return
        await asyncio.sleep(back_after)
        self.name += "x"
        self.born = int(time.time() * 1000)
        self.layers, self._sequence, self._fence = None, 0, 0
        await self.start(host, int(port))

    async def _remove_entry(self, name: str) -> None:
        await asyncio.sleep(LAPSE)
        self.store.remove(f"servers/{name}")

    def describe(self) -> dict[str, t.Any]:
        """Return its entry."""
        entry: dict[str, t.Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 96 if self.kind else 6,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.kind:
            entry["kind"] = self.kind
        if self.layers is not None:
            first, target = self.layers
            entry["layers"] = {"from": first, "target": target, "version": 1}
        return entry

    async def _beat(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT)

    def _write_entry(self) -> None:
        if not self.store.is_down:
            self.store.put(f"servers/{self.name}", self.describe())

    async def _handle(self, request: Request) -> Response:
        if self.is_down:
            return Response(abort=True)
        if request.path == "/tarragonrudder/report":
            return self._reply(200, {"stalled": [], "pace": 1.0, "born": self.born})
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            return Response(421, (("Not-Executed", "1"),))
        if request.path == "/tarragonrudder/order":
            return self._take_order(json.loads(request.body))
        parts = []
        if self.kind:
            parts, refusal = self._find_parts(request)
            if refusal is not None:
                return refusal
        run = Run(
            request.headers.get("attempt-id", ""),
            request.target,
            request.headers.get("tenant", ""),
            self.name,
            request.at,
        )
        self.runs.append(run)
        headers = (
            ("Attempt-Id", run.request),
            ("Response-Seal", f"{self.name}.{next(_seals)}"),
            *self.extra_headers,
        )
        if self.kind:
            return Response(200, headers, parts=self._write_events(request, run, parts))
        await asyncio.sleep(self.work)
        run.whole = True
        return Response(200, headers, f"answer to {run.request}".encode())

    def _find_parts(self, request: Request) -> tuple[list["Worker"], Response | None]:
        """Return the workers of a request's path, or why it can't be run."""
        path = request.headers.get("hop-count", f"{self.address}=0-{LAYERS}")
        found = []
        for entry in path.split(","):
            address, _, layers = entry.partition("=")
            first, target = (int(each) for each in layers.split("-"))
            part = _by_address.get(address)
            headers = (("Not-Executed", "1"), ("At-Server", address))
            if part is None or part.is_down:
                return [], Response(503, headers)
            held = part.layers or (0, 0)
            if not held[0] <= first < target <= held[1]:
                return [], Response(421, headers)
            found.append(part)
        return found, None

    async def _write_events(
        self, request: Request, run: Run, parts: list["Worker"]
    ) -> t.AsyncIterator[bytes]:
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap)
            if any(part.is_down for part in parts):
                raise ConnectionError("a part of the path is gone")
            yield b"id: %d\ndata: token %d\n\n" % (number, number)
        run.whole = True

    def _take_order(self, order: dict[str, t.Any]) -> Response:
        fence = order.get("fence", self._fence)
        if fence < self._fence:
            return self._reply(412, {})
        self._fence = fence
        if order.get("operation") != "place":
            return self._reply(404, {})
        self.orders.append(order)
        self._sequence += 1
        self._loading = asyncio.create_task(self._load(order["from"], order["target"]))
        return self._reply(202, {})

    async def _load(self, first: int, target: int) -> None:
        await asyncio.sleep(LOAD_TIME * (target - first) / LAYERS)
        if self.is_down:
            return
        self.layers = (first, target)
        self._write_entry()

    def _reply(self, status: int, content: object) -> Response:
        headers = (("Content-Type", "application/json"), *self.extra_headers)
        return Response(status, headers, json.dumps(content).encode())
