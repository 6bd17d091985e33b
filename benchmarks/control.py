"""Cost of the control plane per node: bytes, messages, processor time, memory.

Core ``Node`` objects run in one process on a virtual clock and exchange messages
through the real codec. Each node receives the request rate expected in two years.
A line is fitted to the costs at several fleet sizes and extrapolated to 400 nodes.
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
from tarragonrudder.edges.peer import (
    PeerClient,
    PeerSecrets,
    decode_message,
    encode_message,
    make_peer_app,
)
from tarragonrudder.edges.statsd_metrics import StatsdMetrics

SIZES = (7, 25, 50, 100, 200)
# In smaller fleets, the rate limits' report period or number of owners is at its
# minimum, so that their costs do not follow the fitted line.
FITTED_FROM = 50  # nodes
FULL_SIZE = 400
NODE_RATE = 3400 / FULL_SIZE  # requests per second that arrive at a node
ACCOUNTS_PER_NODE = 20_000 // FULL_SIZE
KEYED_SHARE = 0.05  # of the requests: non-idempotent calls with a record
WARM_UP = 10.0  # virtual seconds
END = 50.0  # virtual seconds
HEADER_BYTES = 300  # headers of a request and its response
LATENCY = 0.001  # seconds
SERVICE_TIME = 0.05  # seconds
HTTP_MESSAGES = 400
BYTES_TARGET = 3000.0  # bytes per second
PROCESSOR_TARGET = 3.8  # percent of a core
SECRETS = PeerSecrets((b"a-secret-of-the-nodes",))
HIGH_HEADROOM, LOW_HEADROOM = 4.0, 1.2  # limits as multiples of the accounts' own rates


@dataclasses.dataclass
class Cost:
    """Control-plane cost of one node after the warm-up.

    Sent and received data is in bytes, processor time in seconds.
    """

    sent: int = 0
    received: int = 0
    messages: int = 0
    processor: float = 0.0
    reads: int = 0
    writes: int = 0


@dataclasses.dataclass(frozen=True)
class SizeResult:
    """Costs per node and second at one fleet size.

    Attributes
    ----------
    sent : float
        Mean bytes sent.
    busiest : float
        Largest number of bytes that one node sent or received.
    processor : float
        Percent of a core.
    """

    nodes: int
    sent: float
    busiest: float
    messages: float
    processor: float
    reads: float
    writes: float


class Fleet:
    """Simulates nodes, a platform and callers on a virtual clock."""

    def __init__(self, count: int, headroom: float, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.platform = FakePlatform()
        self.costs: dict[str, Cost] = {}
        self.message_counts: collections.Counter[str] = collections.Counter()
        self.now = 0.0
        self._measuring = False
        self._event_queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._sequence = itertools.count()
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
            start_time = self.random.random()
            self.at(start_time, lambda n=name: self._start(n, configuration, listed))
            self.at(2.0 + start_time, lambda n=name: self._submit_request(n))

    def at(self, when: float, action: t.Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._event_queue, (when, next(self._sequence), action))

    def run(self) -> None:
        """Run all scheduled actions that are due before `END`."""
        while self._event_queue and self._event_queue[0][0] < END:
            self.now, _, action = heapq.heappop(self._event_queue)
            self._measuring = self.now >= WARM_UP
            action()

    def _start(self, name: str, configuration: Configuration, listed: t.Any) -> None:
        self._execute_actions(name, self.nodes[name].start(self.now))
        self._post(name, events.ConfigurationLoaded(configuration))
        self._post(name, listed)

    def _submit_request(self, name: str) -> None:
        self.at(
            self.now + self.random.expovariate(NODE_RATE),
            lambda: self._submit_request(name),
        )
        account = self.random.choices(self.accounts, cum_weights=self._weights)[0]
        number = next(self._sequence)
        keyed = self.random.random() < KEYED_SHARE
        request = events.ServiceRequested(
            f"request-{number}",
            account.name,
            "register",
            "POST" if keyed else "GET",
            "/excusals",
            f"{number:064x}",
            f"key-{number}" if keyed else None,
        )
        # The request itself is data-plane work and is not measured; the messages
        # and calls that its record and its rate limit cause are.
        self._post(name, request, counts_as_control=False)

    def _post(self, name: str, event: t.Any, counts_as_control: bool = True) -> None:
        started_at = time.process_time_ns()
        decided = self.nodes[name].handle(event, self.now)
        elapsed = time.process_time_ns() - started_at
        if counts_as_control:
            self._add_processor_time(name, elapsed)
        self._execute_actions(name, decided)

    def _add_processor_time(self, name: str, nanoseconds: int) -> None:
        if self._measuring:
            self.costs[name].processor += nanoseconds / 1e9

    def _execute_actions(self, name: str, decided: t.Sequence[t.Any]) -> None:
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
                        lambda e=answer: self._post(name, e, counts_as_control=False),
                    )
                case actions.ReadKey() | actions.SwapKey() | actions.GrantLease():
                    self._call_platform(name, action)

    def _call_platform(self, name: str, action: t.Any) -> None:
        if self._measuring:
            if isinstance(action, actions.ReadKey):
                self.costs[name].reads += 1
            else:
                self.costs[name].writes += 1
        event = self.platform.call(action, self.now, self.now)
        self.at(self.now + 2 * LATENCY, lambda: self._post(name, event))

    def _send(self, name: str, action: actions.SendPeerMessage) -> None:
        started_at = time.process_time_ns()
        body = encode_message(name, action.node, action.message, 1e9 + self.now)
        signature = SECRETS.sign(body)
        self._add_processor_time(name, time.process_time_ns() - started_at)
        size = len(body) + HEADER_BYTES
        if self._measuring:
            self.costs[name].sent += size
            self.costs[name].messages += 1
            self.costs[action.node].received += size
            self.message_counts[type(action.message).__name__] += 1
        target = action.node

        def arrive() -> None:
            started_at = time.process_time_ns()
            event = decode_message(SECRETS, target, body, signature, 1e9 + self.now)
            self._add_processor_time(target, time.process_time_ns() - started_at)
            self._post(target, event)

        self.at(self.now + LATENCY, arrive)


def make_accounts(count: int, headroom: float) -> tuple[ClientAccount, ...]:
    """Return accounts whose rates are inversely proportional to their rank."""
    total_accounts = ACCOUNTS_PER_NODE * count
    weights = [1 / (rank + 1) for rank in range(total_accounts)]
    scale = NODE_RATE * count / sum(weights)
    accounts = []
    for rank, weight in enumerate(weights):
        rate = max(0.5, weight * scale * headroom)
        accounts.append(ClientAccount(f"account-{rank}", (), rate, max(2.0, rate)))
    return tuple(accounts)


def simulate_size(count: int, headroom: float) -> tuple[SizeResult, dict[str, float]]:
    """Return the costs at one size, and messages per node and second by type."""
    fleet = Fleet(count, headroom)
    fleet.run()
    seconds = END - WARM_UP
    costs = fleet.costs.values()

    def average(values: t.Iterable[float]) -> float:
        return statistics.fmean(values) / seconds

    result = SizeResult(
        count,
        average(cost.sent for cost in costs),
        max(max(cost.sent, cost.received) for cost in costs) / seconds,
        average(cost.messages for cost in costs),
        average(cost.processor for cost in costs) * 100,
        average(cost.reads for cost in costs),
        average(cost.writes for cost in costs),
    )
    message_counts = {
        kind: n / seconds / count for kind, n in fleet.message_counts.items()
    }
    return result, message_counts


def extrapolate_to_full_size(
    results: t.Sequence[SizeResult], name: str
) -> tuple[float, float]:
    """Return a cost extrapolated to the full size, and the fit's largest residual.

    The line is fitted over the inverse square root of the node count, because
    the number of reports to owners falls in proportion to it.
    """
    results = [result for result in results if result.nodes >= FITTED_FROM]
    sizes = [result.nodes**-0.5 for result in results]
    values = [getattr(result, name) for result in results]
    slope, intercept = statistics.linear_regression(sizes, values)
    residuals = [
        abs(intercept + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    ]
    return intercept + slope * FULL_SIZE**-0.5, max(residuals)


async def measure_http() -> float:
    """Return the processor seconds of sending and receiving one HTTP message."""
    (port,) = find_ports(1)
    metrics = StatsdMetrics(None, 8125)
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
        started_at = time.process_time()
        for _ in range(HTTP_MESSAGES):
            await client.send("b", message)
        elapsed = time.process_time() - started_at
        stopped.set()
    await client.close()
    metrics.close()
    return elapsed / HTTP_MESSAGES


def measure_memory() -> tuple[float, float]:
    """Return the MB of 20,000 configured accounts and of their rate limiters."""
    tracemalloc.start()
    accounts = {}
    for index in range(20_000):
        digest = f"{index:064x}"
        account = ClientAccount(f"account-{index:05}", (digest,), 2.0, 4.0)
        accounts[account.name] = account
    configured_bytes = tracemalloc.get_traced_memory()[0]
    # The worst case: one node has served all accounts and owns all of them.
    limiter = RateLimiter("node-0")
    limiter.configure(accounts)
    for account in accounts.values():
        for _ in range(3):
            limiter.take(account, 1.0)
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return configured_bytes / 1e6, (total_bytes - configured_bytes) / 1e6


def print_results(
    title: str, headroom: float, http: float, sizes: t.Sequence[int]
) -> None:
    """Simulate all sizes and print a table."""
    print(title)
    print("nodes  sent B/s  busiest B/s  messages/s  core %  reads/s  writes/s")
    results = []
    for size in sizes:
        result, message_counts = simulate_size(size, headroom)
        results.append(result)
        print(
            f"{size:5}  {result.sent:8.0f}  {result.busiest:11.0f}"
            f"  {result.messages:10.2f}  {result.processor:6.3f}"
            f"  {result.reads:7.3f}  {result.writes:8.3f}"
        )
    shown = ", ".join(
        f"{kind} {rate:.2f}" for kind, rate in sorted(message_counts.items())
    )
    print(f"messages a second and node at {sizes[-1]}: {shown}")
    if len(sizes) == 1:
        return
    for name in ("sent", "messages", "processor", "reads", "writes"):
        value, error = extrapolate_to_full_size(results, name)
        print(f"{name} at {FULL_SIZE}: {value:.3f}, largest residual {error:.3f}")
    messages, _ = extrapolate_to_full_size(results, "messages")
    processor, _ = extrapolate_to_full_size(results, "processor")
    total_processor = processor + messages * http * 100
    sent, _ = extrapolate_to_full_size(results, "sent")
    print(
        f"with HTTP, core % at {FULL_SIZE}: {total_processor:.2f} of {PROCESSOR_TARGET}"
    )
    print(f"bytes sent at {FULL_SIZE}: {sent:.0f} of {BYTES_TARGET:.0f}\n")


def main(arguments: t.Sequence[str]) -> int:
    """Print all tables; with ``--full``, simulate only the full size."""
    http = trio.run(measure_http)
    print(f"one message over HTTP, both ends: {http * 1e3:.2f} ms of a core\n")
    sizes = (FULL_SIZE,) if "--full" in arguments else SIZES
    for headroom in (HIGH_HEADROOM, LOW_HEADROOM):
        title = f"Limits of {headroom} times the accounts' own rates"
        print_results(title, headroom, http, sizes)
    configured_mb, limits_mb = measure_memory()
    print(
        f"20,000 accounts: {configured_mb:.1f} MB configured, "
        f"{limits_mb:.1f} MB of limits"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
