"""Cost of control per node: bytes, messages, processor time and memory.

Core ``Node`` objects run in one process on a virtual clock, with the real codec
between them; each node gets the requests that it would get at the two-year
size. The costs at several sizes are fitted by a line and stated for 400 nodes.
Run it with ``python -m benchmarks.control``.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
import sys
import time
import tracemalloc
import typing as t

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from tests.planner_fleet import FakePlatform
from tests.standins.cluster import find_ports

from tarragonrudder.core.admission.rate_limiter import RateLimiter
from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain import event as events
from tarragonrudder.core.domain.fleet import (
    ClientAccount,
    Configuration,
    ServiceInstance,
    ServiceRoute,
)
from tarragonrudder.core.domain.message import LimitDemand
from tarragonrudder.core.node.node import Node, NodeOptions
from tarragonrudder.edges.metrics import Metrics
from tarragonrudder.edges.peer import (
    PeerClient,
    PeerSecrets,
    decode_message,
    encode_message,
    make_peer_app,
)

SIZES = (7, 25, 50, 100, 200)
FITTED_FROM = 50  # nodes; fewer report by another rule
FULL_SIZE = 400
NODE_RATE = 3400 / FULL_SIZE  # requests a second that come to a node
ACCOUNTS_PER_NODE = 20_000 // FULL_SIZE
KEYED_PART = 0.05  # of the requests: non-idempotent calls with a record
WARM_UP = 10.0  # virtual seconds
END = 50.0  # virtual seconds
HTTP_BYTES = 300  # heads of a request and its response
LATENCY = 0.001  # seconds
SERVICE_TIME = 0.05  # seconds
HTTP_MESSAGES = 400
BYTES_TARGET = 3000.0  # a second
PROCESSOR_TARGET = 3.8  # percent of a core
SECRETS = PeerSecrets((b"a-secret-of-the-nodes",))
ROOMY, TIGHT = 4.0, 1.2  # limits as multiples of the accounts' own rates


@dataclasses.dataclass
class Cost:
    """What one node spent on control after the warm-up."""

    sent: int = 0
    received: int = 0
    messages: int = 0
    processor: float = 0.0
    reads: int = 0
    writes: int = 0


@dataclasses.dataclass(frozen=True)
class Reading:
    """Costs per node and second at one size."""

    nodes: int
    sent: float
    most: float
    messages: float
    processor: float
    reads: float
    writes: float


class Fleet:
    """Nodes, a platform and callers on a virtual clock."""

    def __init__(self, count: int, headroom: float, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.platform = FakePlatform()
        self.costs: dict[str, Cost] = {}
        self.kinds: collections.Counter[str] = collections.Counter()
        self.now = 0.0
        self._measuring = False
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        names = [f"node-{index:03}" for index in range(count)]
        self.accounts = make_accounts(count, headroom)
        self._weights = list(
            itertools.accumulate(1 / (rank + 1) for rank in range(len(self.accounts)))
        )
        configuration = Configuration(
            1,
            accounts=self.accounts,
            services=(
                ServiceInstance("register-1", "http://register", "mi-1", "register"),
            ),
            service_routes=(ServiceRoute("register", ("GET",)),),
        )
        listed = events.NodesListed(
            tuple(events.NodeAddress(name, "", "mi-1") for name in names)
        )
        self.nodes: dict[str, Node] = {}
        for name in names:
            node = Node(NodeOptions(name, "mi-1"), random.Random(name))
            self.nodes[name] = node
            self.costs[name] = Cost()
            start = self.random.random()
            self.at(start, lambda n=name: self._start(n, configuration, listed))
            self.at(2.0 + start, lambda n=name: self._ask(n))

    def at(self, when: float, action: t.Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self) -> None:
        """Run to the end."""
        while self._queue and self._queue[0][0] < END:
            self.now, _, action = heapq.heappop(self._queue)
            self._measuring = self.now >= WARM_UP
            action()

    def _start(self, name: str, configuration: Configuration, listed: t.Any) -> None:
        self._carry_out(name, self.nodes[name].start(self.now))
        self._post(name, events.ConfigurationLoaded(configuration))
        self._post(name, listed)

    def _ask(self, name: str) -> None:
        self.at(self.now + self.random.expovariate(NODE_RATE), lambda: self._ask(name))
        account = self.random.choices(self.accounts, cum_weights=self._weights)[0]
        number = next(self._order)
        keyed = self.random.random() < KEYED_PART
        request = events.ServiceRequested(
            f"request-{number}",
            account.name,
            "register",
            "POST" if keyed else "GET",
            "/excusals",
            f"{number:064x}",
            f"key-{number}" if keyed else None,
        )
        # A caller's own request is no control; its record and limit are.
        self._post(name, request, counts=False)

    def _post(self, name: str, event: t.Any, counts: bool = True) -> None:
        begun = time.process_time_ns()
        decided = self.nodes[name].handle(event, self.now)
        spent = time.process_time_ns() - begun
        if counts:
            self._spend(name, spent)
        self._carry_out(name, decided)

    def _spend(self, name: str, nanoseconds: int) -> None:
        if self._measuring:
            self.costs[name].processor += nanoseconds / 1e9

    def _carry_out(self, name: str, decided: t.Sequence[t.Any]) -> None:
        for action in decided:
            match action:
                case actions.SendPeerMessage():
                    self._send(name, action)
                case actions.SetTimer():
                    fired = events.TimerFired(action.timer)
                    self.at(action.at, lambda e=fired: self._post(name, e))
                case actions.CallService():
                    answer = events.ServiceAnswered(
                        action.request, action.attempt, 200, "text/plain", b"done"
                    )
                    self.at(
                        self.now + SERVICE_TIME,
                        lambda e=answer: self._post(name, e, counts=False),
                    )
                case actions.ReadKey() | actions.SwapKey() | actions.GrantLease():
                    self._call(name, action)

    def _call(self, name: str, action: t.Any) -> None:
        if self._measuring:
            if isinstance(action, actions.ReadKey):
                self.costs[name].reads += 1
            else:
                self.costs[name].writes += 1
        event = self.platform.call(action, self.now, self.now)
        self.at(self.now + 2 * LATENCY, lambda: self._post(name, event))

    def _send(self, name: str, action: actions.SendPeerMessage) -> None:
        begun = time.process_time_ns()
        body = encode_message(name, action.node, action.message, 1e9 + self.now)
        signature = SECRETS.sign(body)
        self._spend(name, time.process_time_ns() - begun)
        size = len(body) + HTTP_BYTES
        if self._measuring:
            self.costs[name].sent += size
            self.costs[name].messages += 1
            self.costs[action.node].received += size
            self.kinds[type(action.message).__name__] += 1
        target = action.node

        def arrive() -> None:
            begun = time.process_time_ns()
            event = decode_message(SECRETS, target, body, signature, 1e9 + self.now)
            self._spend(target, time.process_time_ns() - begun)
            self._post(target, event)

        self.at(self.now + LATENCY, arrive)


def make_accounts(count: int, headroom: float) -> tuple[ClientAccount, ...]:
    """Return accounts whose rates fall as one over their rank."""
    total = ACCOUNTS_PER_NODE * count
    weights = [1 / (rank + 1) for rank in range(total)]
    scale = NODE_RATE * count / sum(weights)
    accounts = []
    for rank, weight in enumerate(weights):
        rate = max(0.5, weight * scale * headroom)
        accounts.append(ClientAccount(f"account-{rank}", (), rate, max(2.0, rate)))
    return tuple(accounts)


def measure_size(count: int, headroom: float) -> tuple[Reading, dict[str, float]]:
    """Return the costs at one size, and messages a second by kind."""
    fleet = Fleet(count, headroom)
    fleet.run()
    seconds = END - WARM_UP
    costs = fleet.costs.values()

    def average(values: t.Iterable[float]) -> float:
        return statistics.fmean(values) / seconds

    reading = Reading(
        count,
        average(cost.sent for cost in costs),
        max(max(cost.sent, cost.received) for cost in costs) / seconds,
        average(cost.messages for cost in costs),
        average(cost.processor for cost in costs) * 100,
        average(cost.reads for cost in costs),
        average(cost.writes for cost in costs),
    )
    kinds = {kind: n / seconds / count for kind, n in fleet.kinds.items()}
    return reading, kinds


def extrapolate(readings: t.Sequence[Reading], name: str) -> tuple[float, float]:
    """Return a line's value at the full size, and its largest residual.

    The line is over one by the root of the nodes, as which the number of
    reports to owners falls.
    """
    readings = [reading for reading in readings if reading.nodes >= FITTED_FROM]
    sizes = [reading.nodes**-0.5 for reading in readings]
    values = [getattr(reading, name) for reading in readings]
    slope, start = statistics.linear_regression(sizes, values)
    residuals = [
        abs(start + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    ]
    return start + slope * FULL_SIZE**-0.5, max(residuals)


async def measure_http() -> float:
    """Return processor seconds of a message's two ends over real HTTP."""
    (port,) = find_ports(1)
    metrics = Metrics(None, 8125)
    app = make_peer_app("b", SECRETS, metrics, lambda event: None)
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.errorlog = config.accesslog = None
    stopped = trio.Event()
    client = PeerClient("a", SECRETS, False, metrics)
    client.set_nodes((events.NodeAddress("b", f"http://127.0.0.1:{port}", "mi-1"),))
    message = LimitDemand(1, ("account-1",), (1.0,), (4.0,), (2.0,))
    async with trio.open_nursery() as nursery:

        async def run_server() -> None:
            await serve(app, config, shutdown_trigger=stopped.wait)

        nursery.start_soon(run_server)
        while not await client.send("b", message):
            await trio.sleep(0.05)
        begun = time.process_time()
        for _ in range(HTTP_MESSAGES):
            await client.send("b", message)
        spent = time.process_time() - begun
        stopped.set()
    await client.close()
    metrics.close()
    return spent / HTTP_MESSAGES


def measure_memory() -> tuple[float, float]:
    """Return MB of 20,000 configured accounts, and of their limits' state."""
    tracemalloc.start()
    accounts = {}
    for index in range(20_000):
        digest = f"{index:064x}"
        account = ClientAccount(f"account-{index:05}", (digest,), 2.0, 4.0)
        accounts[account.name] = account
    configured = tracemalloc.get_traced_memory()[0]
    # The worst case: one node has seen all accounts and owns all of them.
    limits = RateLimiter("node-0")
    limits.configure(accounts)
    for account in accounts.values():
        for _ in range(3):
            limits.take(account, 1.0)
    total = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return configured / 1e6, (total - configured) / 1e6


def print_readings(
    title: str, headroom: float, http: float, sizes: t.Sequence[int]
) -> None:
    """Measure all sizes and print a table."""
    print(title)
    print("nodes  sent B/s  busiest B/s  messages/s  core %  reads/s  writes/s")
    readings = []
    for size in sizes:
        reading, kinds = measure_size(size, headroom)
        readings.append(reading)
        print(
            f"{size:5}  {reading.sent:8.0f}  {reading.most:11.0f}"
            f"  {reading.messages:10.2f}  {reading.processor:6.3f}"
            f"  {reading.reads:7.3f}  {reading.writes:8.3f}"
        )
    shown = ", ".join(f"{kind} {rate:.2f}" for kind, rate in sorted(kinds.items()))
    print(f"messages a second and node at {sizes[-1]}: {shown}")
    if len(sizes) == 1:
        return
    for name in ("sent", "messages", "processor", "reads", "writes"):
        value, error = extrapolate(readings, name)
        print(f"{name} at {FULL_SIZE}: {value:.3f}, largest residual {error:.3f}")
    messages, _ = extrapolate(readings, "messages")
    processor, _ = extrapolate(readings, "processor")
    whole = processor + messages * http * 100
    sent, _ = extrapolate(readings, "sent")
    print(f"with HTTP, core % at {FULL_SIZE}: {whole:.2f} of {PROCESSOR_TARGET}")
    print(f"bytes sent at {FULL_SIZE}: {sent:.0f} of {BYTES_TARGET:.0f}\n")


def main(arguments: t.Sequence[str]) -> int:
    """Print all tables; with ``--full`` only those of the full size."""
    http = trio.run(measure_http)
    print(f"one message over HTTP, both ends: {http * 1e3:.2f} ms of a core\n")
    sizes = (FULL_SIZE,) if "--full" in arguments else SIZES
    for headroom in (ROOMY, TIGHT):
        title = f"Limits of {headroom} times the accounts' own rates"
        print_readings(title, headroom, http, sizes)
    configured, state = measure_memory()
    print(f"20,000 accounts: {configured:.1f} MB configured, {state:.1f} MB of limits")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
