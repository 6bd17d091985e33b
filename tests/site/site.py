"""A whole site on loopback: store, upstreams and nodes in one process."""

import contextlib
import itertools

import h11
import trio

from tarragonrudder.platform.daemon import PlatformDaemon
from tarragonrudder.platform.node_settings import PlatformNodeSettings
from tests.site.store import StoreStandIn
from tests.site.upstream import UpstreamStandIn
from tests.soak.proxy import Cut, Link
from tests.standins.cluster import find_ports

ENGINE = {
    "slots": 96,
    "kv-capacity": 50000,
    "kv-token-bytes": 1180000,
    "models": [{"name": "model", "pace": 1.0, "load-s": 14.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00918,
    "read_per_s": 164000.0,
    "report_lag_ms": 200.0,
    "delays": [{"from": "zone-a", "target": "zone-b", "delay_ms": 0.5}],
    "usual": {"prompt": 775, "answer": 216},
    "layers": 80,
    "layer-mb": 1750.0,
    "act-bytes": 59000,
    "pipe-mbps": 13000.0,
    "kinds": [
        {"name": "fast", "mb": 160000.0, "pace": 2.4, "read-x": 3.2},
        {"name": "slow", "mb": 160000.0, "pace": 16.0, "read-x": 8.2},
        {"name": "small", "mb": 14400.0, "pace": 5.3, "read-x": 7.9},
    ],
}
HOST = "host.example"
_numbers = itertools.count(1)


def make_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the operator's configuration with the prefix ``/NAME/``."""
    route = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
        "resumable": kind == "streaming",
        "gap-aim-ms": 250,
    }
    return {**route, **changes}


def make_configuration(version: int = 2, **changes: object) -> dict:
    """Return an operator's configuration."""
    routes = [
        make_route("draft", "streaming", "engines"),
        make_route("look", "idempotent", "plain"),
        make_route("record", "non_idempotent", "plain", **{"max-attempts": 1}),
        make_route("short", "idempotent", "plain", **{"timeout-ms": 300}),
    ]
    configuration = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "max-connections": 1068, "engine": ENGINE},
            {"name": "plain", "max-connections": 100},
        ],
        "limits": {},
        "tenants": [{"name": "hule", "api-keys": ["key-1", "key-2"]}],
    }
    return {**configuration, **changes}


class Answer:
    """A response as a caller received it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.whole = False
        self.took = 0.0

    @property
    def event_ids(self) -> list[int]:
        """Event ids in order of arrival."""
        found = []
        for line in self.body.split(b"\n"):
            if line.startswith(b"id: "):
                found.append(int(line[4:]))
        return found


class Node:
    """One node under test."""

    def __init__(
        self, site: "Site", seeds: tuple[str, ...] = (), store: str = ""
    ) -> None:
        self.links: list[Link] = []
        number = next(_numbers)
        self.ip = f"127.0.{1 + number // 200}.{1 + number % 200}"
        *ports, internal, metrics = find_ports(5, self.ip)
        self.front, self.ready, self.control = (f"{self.ip}:{port}" for port in ports)
        self.settings = PlatformNodeSettings.model_validate(
            {
                "node": f"node-{number}",
                "ip": self.ip,
                "zone": "zone-a",
                "internal-ports": (internal, internal),
                "seeds": seeds,
                "listen": {
                    "front": self.front,
                    "ready": self.ready,
                    "control": self.control,
                },
                "platform": {"address": store or site.store.address},
            }
        )
        self.metrics = f"http://{self.ip}:{metrics}/metrics"
        self.daemon = PlatformDaemon(None, self.settings, metrics)

    def cut(self, how: Cut, share: float = 1.0) -> None:
        """Cut the node off from some of its upstreams."""
        for link in self.links[: round(share * len(self.links))]:
            link.cut(how)

    def restore(self) -> None:
        """End a cut."""
        for link in self.links:
            link.restore()

    async def connect(self) -> trio.SocketStream:
        """Open a caller's connection."""
        host, _, port = self.front.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def ask(self, target: str, stream=None, **options: object) -> Answer:
        """Send a request and return the response."""
        own = stream is None
        if stream is None:
            stream = await self.connect()
        try:
            return await send_request(stream, target, **options)
        finally:
            if own:
                await trio.aclose_forcefully(stream)


async def send_request(
    stream: trio.SocketStream,
    target: str,
    name: str = "",
    key: str = "key-1",
    body: bytes = b"body",
    deadline: float = 4.0,
    headers: tuple[tuple[str, str], ...] = (),
) -> Answer:
    """Send a request on a connection and read the response."""
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="POST",
        target=target,
        headers=[
            ("Host", HOST),
            ("Attempt-Id", name or f"request-{next(_numbers)}"),
            ("Deadline-Ms", str(int(deadline * 1000))),
            ("Authorization", f"Bearer {key}".strip()),
            ("Token-Usage", "100,40"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    data = connection.send(request) + connection.send(h11.Data(data=body))
    begun = trio.current_time()
    await stream.send_all(data + connection.send(h11.EndOfMessage()))
    answer = Answer()
    try:
        with trio.move_on_after(deadline + 2.0):
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = dict(event.headers)
                elif isinstance(event, h11.Data):
                    answer.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    answer.whole = True
                    break
                else:
                    break
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        pass
    answer.took = trio.current_time() - begun
    return answer


class Site:
    """A store with upstreams; can start nodes."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.upstreams: list[UpstreamStandIn] = []
        self.store = StoreStandIn()
        self.nursery = nursery

    async def start(self, configuration: dict | None = None) -> None:
        """Start the store and write a configuration to it, unless that is empty."""
        (port,) = find_ports(1)
        await self.nursery.start(self.store.run, port)
        found = make_configuration() if configuration is None else configuration
        if found:
            self.store.put("op/config", found)

    async def add(self, *upstreams: UpstreamStandIn) -> None:
        """Start upstreams and register them in the store."""
        for upstream in upstreams:
            await self.nursery.start(upstream.run)
            self.upstreams.append(upstream)
            self.store.put(f"servers/{upstream.name}", upstream.describe())

    async def add_node(
        self, seeds: tuple[str, ...] = (), ready: bool = True, linked: bool = False
    ) -> Node:
        """Start a node; wait until it accepts connections and, if asked, is ready.

        Parameters
        ----------
        linked : bool
            Whether it reaches the upstreams over links of its own, which can be cut.
        """
        links, store = [], ""
        if linked:
            view = {}
            for upstream in self.upstreams:
                link = Link(upstream.address)
                await self.nursery.start(link.run)
                view[upstream.address] = link.address
                links.append(link)
            (port,) = find_ports(1)
            await self.nursery.start(self.store.run_view, port, view)
            store = f"127.0.0.1:{port}"
        node = Node(self, seeds, store)
        node.links = links
        self.nursery.start_soon(node.daemon.run)
        with trio.fail_after(5.0):
            while ready and not node.daemon.is_ready:
                await trio.sleep(0.01)
            while True:
                with contextlib.suppress(OSError):
                    await trio.aclose_forcefully(await node.connect())
                    break
                await trio.sleep(0.01)
        return node


@contextlib.asynccontextmanager
async def open_site(configuration: dict | None = None):
    """Run a site for one test."""
    async with trio.open_nursery() as nursery:
        site = Site(nursery)
        await site.start(configuration)
        yield site
        nursery.cancel_scope.cancel()
