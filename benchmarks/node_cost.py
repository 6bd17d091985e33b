"""Processor time of a node for each request, stream event, connection and log line.

One node runs in a process of its own; its store, engines and callers are the stand-ins
of the tests, in this process. With ``--against TREE``, a node of another tree serves
the same load in turn, and ratios are printed. Run it with
``python -m benchmarks.node_cost``; it takes about half a minute a tree.
"""

import argparse
import contextlib
import ctypes
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
import typing as t
from dataclasses import dataclass, field

import h11
import trio

TREE = pathlib.Path(__file__).resolve().parents[1]
ROUNDS = 3
START_TIMEOUT = 60.0  # seconds, also on a busy machine
SETTLE_SECONDS = 2.0
IDLE_SECONDS = 1.5
CALLERS = 4
CALLS = 60  # by each caller and round
STREAMS = 6  # by each caller and round
LOG_EVENTS = 20  # kinds of log lines, each within its rate
LOG_LINES = 2000  # of each kind
# Names, events of a stream and how many of them one write carries.
STREAM_KINDS = (("stream_1", 1, 1), ("stream_45", 45, 1), ("stream_burst", 45, 9))


@dataclass
class Node:
    """One node under load, with the milliseconds that each step has cost it."""

    tree: pathlib.Path
    address: str = ""
    process: "subprocess.Popen[bytes] | None" = None
    idle: float = 0.0  # ms a second
    costs: dict[str, list[float]] = field(default_factory=dict)

    def read_clock(self) -> float:
        """Return the milliseconds of processor time that its process has used."""
        clock = ctypes.c_int()
        ctypes.CDLL(None).clock_getcpuclockid(self.process.pid, ctypes.byref(clock))
        return time.clock_gettime(clock.value) * 1000.0

    async def measure(
        self, name: str, count: int, load: t.Callable[[], t.Awaitable[None]]
    ) -> None:
        """Add what each of `count` steps of a load costs, without the idle node's."""
        clock, begun = self.read_clock(), time.monotonic()
        await load()
        idle = self.idle * (time.monotonic() - begun)
        cost = (self.read_clock() - clock - idle) / count
        self.costs.setdefault(name, []).append(cost)


def run_node(settings: str) -> None:
    """Run a node until its process is ended."""
    from tarragonrudder.platform.daemon import PlatformDaemon
    from tarragonrudder.platform.node_settings import PlatformNodeSettings

    read = json.loads(settings)
    metrics = read.pop("metrics")
    node = PlatformNodeSettings.model_validate(read)
    trio.run(PlatformDaemon(None, node, metrics).run)


def measure_log_lines() -> None:
    """Print the ms of a log line that is written, and of one over its rate."""
    from tarragonrudder.edges.decision_log import DecisionLog
    from tarragonrudder.edges.telemetry import Telemetry

    sink = os.open(os.devnull, os.O_WRONLY)
    telemetry = Telemetry(DecisionLog("node-1", sink))
    for lines in (LOG_EVENTS, LOG_LINES):
        begun = time.process_time()
        for number in range(lines):
            for kind in range(LOG_EVENTS):
                telemetry.log_event(
                    f"event_{kind}", "request-1", path="e-1(0-79)", cost=1.5, send=1
                )
            # Within each kind's rate at first, far over it then.
            del number
        print((time.process_time() - begun) * 1000.0 / lines / LOG_EVENTS)


def start_process(tree: pathlib.Path, *arguments: str, **options: t.Any) -> t.Any:
    """Start this program in a process that imports the project from a tree."""
    environment = {**os.environ, "PYTHONPATH": f"{tree}/src"}
    command = [sys.executable, "-m", "benchmarks.node_cost", *arguments]
    return subprocess.Popen(command, cwd=TREE, env=environment, **options)


async def wait_started(address: str) -> None:
    """Wait until a node accepts connections."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            await trio.aclose_forcefully(await trio.open_tcp_stream(host, int(port)))
            return
        await trio.sleep(0.1)


async def run_load(nodes: list[Node]) -> None:
    """Measure nodes in turn under the same load."""
    from tests.site.site import Node as SiteNode
    from tests.site.site import make_configuration, make_route, open_site, send_request
    from tests.site.upstream import UpstreamStandIn

    class PacedEngine(UpstreamStandIn):
        """Engine that sends several events in each write."""

        burst = 1

        async def _send_events(self, stream, connection, headers, arrival) -> bool:
            headers.append(("Transfer-Encoding", "chunked"))
            out = connection.send(h11.Response(status_code=200, headers=headers))
            for number in range(1, self.events + 1):
                event = b"id: %d\ndata: token %d\n\n" % (number, number)
                out += connection.send(h11.Data(data=event))
                if number % self.burst == 0:
                    await stream.send_all(out)
                    await trio.sleep(self.gap)
                    out = b""
            await stream.send_all(out + connection.send(h11.EndOfMessage()))
            return True

    routes = [
        make_route("call", "idempotent", "plain"),
        *(make_route(each[0], "streaming", each[0]) for each in STREAM_KINDS),
    ]
    engine = make_configuration()["services"][0]
    services = [{**engine, "name": each[0]} for each in STREAM_KINDS]
    services.append({"name": "plain", "max-connections": 100})
    async with open_site(make_configuration(routes=routes, services=services)) as site:
        await site.add(UpstreamStandIn("p-1", service="plain"))
        for name, events, burst in STREAM_KINDS:
            upstream = PacedEngine(name, service=name, layers=(0, 79))
            upstream.events, upstream.burst, upstream.service = events, burst, "engines"
            await site.add(upstream)
            site.store.put(f"servers/{name}", upstream.describe(service=name))

        async def ask(target: str, count: int, kept: bool, address: str) -> None:
            host, _, port = address.rpartition(":")
            stream = None
            for _ in range(count):
                if stream is None:
                    stream = await trio.open_tcp_stream(host, int(port))
                answer = await send_request(stream, target)
                if answer.status != 200 or not answer.whole:
                    raise RuntimeError(f"{target} was answered with {answer.status}")
                if not kept:
                    await trio.aclose_forcefully(stream)
                    stream = None
            if stream is not None:
                await trio.aclose_forcefully(stream)

        async def ask_all(name: str, count: int, kept: bool, address: str) -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(ask, f"/{name}/1", count, kept, address)

        for node in nodes:
            found = SiteNode(site)
            settings = found.settings.model_dump(mode="json", by_alias=True)
            settings["metrics"] = int(found.metrics.rpartition(":")[2].split("/")[0])
            node.address = found.front
            node.process = start_process(
                node.tree, "--node", json.dumps(settings), stdout=subprocess.DEVNULL
            )
        try:
            with trio.fail_after(START_TIMEOUT):
                for node in nodes:
                    await wait_started(node.address)
            await trio.sleep(SETTLE_SECONDS)
            for round_number in range(ROUNDS + 1):
                for node in nodes:
                    node.idle = 0.0
                    await node.measure("idle", 1, lambda: trio.sleep(IDLE_SECONDS))
                    node.idle = node.costs["idle"][-1] / IDLE_SECONDS
                    for name, kept in (("kept", True), ("new", False)):
                        await node.measure(
                            name,
                            CALLERS * CALLS,
                            lambda k=kept, n=node: ask_all("call", CALLS, k, n.address),
                        )
                    for name, _, _ in STREAM_KINDS:
                        await node.measure(
                            name,
                            CALLERS * STREAMS,
                            lambda s=name, n=node: ask_all(s, STREAMS, True, n.address),
                        )
                    if round_number == 0:
                        node.costs.clear()  # of caches that were empty
        finally:
            for node in nodes:
                node.process.terminate()
                node.process.wait()


def summarise(node: Node) -> dict[str, float]:
    """Return the median milliseconds of each row."""
    lines = start_process(node.tree, "--log-lines", stdout=subprocess.PIPE)
    written, dropped = lines.communicate()[0].split()
    cost = {name: statistics.median(each) for name, each in node.costs.items()}
    event = (cost["stream_45"] - cost["stream_1"]) / 44
    return {
        "plain call on a kept connection": cost["kept"],
        "connection more": cost["new"] - cost["kept"],
        "stream of 1 event": cost["stream_1"],
        "stream of 45 events, one by one": cost["stream_45"],
        "stream of 45 events, 9 in each write": cost["stream_burst"],
        "event more, by itself": event,
        "event more, in a write of 9": (cost["stream_burst"] - cost["stream_1"]) / 44,
        "log line": float(written),
        "log line over its rate": float(dropped),
    }


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--against", type=pathlib.Path, help="tree to compare with")
    parser.add_argument("--node", help=argparse.SUPPRESS)
    parser.add_argument("--log-lines", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.node:
        return run_node(options.node)
    if options.log_lines:
        return measure_log_lines()
    nodes = [Node(TREE)]
    if options.against:
        nodes.append(Node(options.against.resolve()))
    trio.run(run_load, nodes)
    tables = [summarise(node) for node in nodes]
    print("| processor ms | this tree |" + " other tree | ratio |" * (len(nodes) - 1))
    print("|---" * (2 * len(nodes)) + "|")
    for name, cost in tables[0].items():
        row = f"| {name} | {cost:.4f} |"
        for other in tables[1:]:
            row += f" {other[name]:.4f} | {cost / other[name]:.2f} |"
        print(row)
    return None


if __name__ == "__main__":
    main()
