"""A small deployment on loopback: the platform's part around the project's nodes."""

import asyncio
import contextlib
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import typing as t
from dataclasses import dataclass, field

from review.standins.http import Answer, ask
from review.standins.store import Store
from review.standins.worker import Worker

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST_NAME = "app.example"
METRICS_PORT = 9464  # as in deploy/system.toml
START_LIMIT = 25.0  # seconds for all nodes to be ready
LOAD_LIMIT = 20.0  # seconds for all engines to hold layers
SETTLE = 3.0  # seconds in which all nodes learn of them
RESTART_DELAY = 0.3  # seconds after which the platform starts an ended process again
READY_PERIOD = 1.0  # seconds between two questions whether a node is ready
SETTINGS = """\
node = "{name}"
role = "node"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal-ports = [{internal}, {internal_end}]
seeds = [{seeds}]
first-start = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "platform", "layers"]

[zones]
zone-a = "region-a"
zone-b = "region-a"
zone-c = "region-a"

[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"

[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0

[tolerate]
machines = 1
zones = 0
regions = 0

[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
lost-ms = 200
config-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
fail-closed = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 198
recover-s = 12
pass-ms = 120
again-s = 0
stall_ms = 2000
require-fence = true

[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""
# The users' model; beside their cards one that holds all of its layers.
ENGINE = {
    "slots": 96,
    "kv-capacity": 50000,
    "kv-token-bytes": 1180000,
    "link-mbps": 400000.0,
    "stride": 4,
    "models": [{"name": "model-a", "pace": 1.0, "load-s": 5.0, "warm-s": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00918,
    "context_per_k": 0.0123,
    "read_per_s": 164000.0,
    "pairs_per_m": 0.199,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loads-per-s": 0.0,
    "loads_at_once": 6,
    "delays": [],
    "usual": {"prompt": 775, "answer": 216},
    "layers": 80,
    "layer-mb": 1750.0,
    "act-bytes": 59000,
    "pipe-mbps": 13000.0,
    "kinds": [
        {"name": "a100", "mb": 72000.0, "pace": 2.4, "read-x": 3.2},
        {"name": "whole", "mb": 240000.0, "pace": 2.4, "read-x": 3.2},
    ],
}


class NotRunnable(Exception):
    """The case couldn't run."""


@dataclass
class Exit:
    """The end of a process that nobody had asked for."""

    node: str
    at: float
    code: int


@dataclass
class Node:
    """One machine and the process on it."""

    name: str
    ip: str
    front: str
    ready: str
    control: str
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stopped: bool = False
    killed_for: float = 0.0
    in_rotation: bool = False


@dataclass
class Deployment:
    """The store, workers and nodes of one run.

    Attributes
    ----------
    exits : list of Exit
        Processes that ended by themselves.
    begun : float
        Time from which the record counts.
    """

    folder: pathlib.Path
    store: Store = field(default_factory=Store)
    workers: list[Worker] = field(default_factory=list)
    nodes: list[Node] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    begun: float = field(default_factory=time.monotonic)
    _network: str = ""
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def start_store(self, configuration: dict[str, t.Any]) -> None:
        """Start the store, with the operator's first configuration in it."""
        self._network = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        await self.store.start(f"{self._network}.1")
        self.store.put("op/config", configuration)

    async def add_worker(self, name: str, service: str, **options: t.Any) -> Worker:
        """Start a worker."""
        worker = Worker(name, service, self.store, **options)
        self.workers.append(worker)
        await worker.start(f"{self._network}.{100 + len(self.workers)}")
        return worker

    async def start_nodes(self, count: int) -> None:
        """Start nodes by the deploy file's command and wait until all are ready."""
        for number in range(count):
            self.nodes.append(self._make_node(number))
        for node in self.nodes:
            self._tasks.append(asyncio.create_task(self._keep_running(node)))
            self._tasks.append(asyncio.create_task(self._probe(node)))
        end = time.monotonic() + START_LIMIT
        while not all(node.in_rotation for node in self.nodes):
            if time.monotonic() > end:
                raise NotRunnable("not all nodes became ready")
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.stopped = True
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()

    async def wait_loaded(self) -> None:
        """Wait until all engines hold layers."""
        end = time.monotonic() + LOAD_LIMIT
        while any(each.kind and each.layers is None for each in self.workers):
            if time.monotonic() > end:
                raise NotRunnable("not all engines were loaded")
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE)

    async def kill_all(self, down: float) -> None:
        """Kill all processes; they are started again after some seconds."""
        for node in self.nodes:
            node.killed_for = down
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
        self.note("all processes are killed")
        await asyncio.sleep(down)

    def stop(self, node: Node) -> None:
        """Ask a process to end as planned."""
        node.stopped = True
        if node.process is not None:
            node.process.send_signal(signal.SIGTERM)

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.begun:8.3f}  {text}")

    def write_record(self, path: pathlib.Path) -> None:
        """Write the record, with what the workers ran."""
        for worker in self.workers:
            for run in worker.runs:
                self.lines.append(
                    f"{run.at - self.begun:8.3f}  {worker.name} ran {run.request} "
                    f"{run.target} tenant={run.tenant or '-'} whole={run.whole}"
                )
        self.lines.sort(key=lambda line: float(line.split()[0]))
        path.write_text("\n".join(self.lines) + "\n")

    async def request(
        self,
        node: Node,
        name: str,
        target: str,
        key: str = "",
        method: str = "POST",
        body: bytes = b"body",
        deadline: float = 4.0,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send a client's request to a node and note what came of it."""
        sent = [
            ("Host", HOST_NAME),
            ("Attempt-Id", name),
            ("Deadline-Ms", str(int(deadline * 1000))),
            *headers,
        ]
        if key:
            sent.append(("Authorization", f"Bearer {key}"))
        self.note(f"{name} {method} {target} key={key or '-'} sent to {node.name}")
        answer = await ask(node.front, method, target, sent, body, deadline + 1.0)
        end = "whole" if answer.whole else f"not whole: {answer.error}"
        seal = answer.headers.get("response-seal", "-")
        self.note(f"{name} got {answer.status or 'nothing'}, seal {seal}, {end}")
        return answer

    def _make_node(self, number: int) -> Node:
        ip = f"{self._network}.{10 + number}"
        ports = _find_ports(ip, 4)
        front, ready, control = (f"{ip}:{port}" for port in ports[:3])
        name = f"edge-{number}"
        node = Node(
            name,
            ip,
            front,
            ready,
            control,
            self.folder / f"{name}.toml",
            self.folder / f"{name}.log",
        )
        seeds = ", ".join(f'"{other.control}"' for other in self.nodes[:3])
        node.settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                internal=ports[3],
                internal_end=ports[3] + 1,
                seeds=seeds,
                front=front,
                ready=ready,
                control=control,
                store=self.store.address,
            )
        )
        return node

    async def _keep_running(self, node: Node) -> None:
        """Start a node's process, and start it again after it has ended."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            "TARRAGONRUDDER_NODE_FILE": str(node.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        while not node.stopped:
            with node.log.open("ab") as log:
                node.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            node.starts += 1
            self.note(f"{node.name} is started, start {node.starts}")
            code = await node.process.wait()
            node.in_rotation = False
            if node.stopped:
                self.note(f"{node.name} has ended with {code}, as it was asked to")
                return
            if node.killed_for:
                down, node.killed_for = node.killed_for, 0.0
                await asyncio.sleep(down)
                continue
            self.exits.append(Exit(node.name, time.monotonic(), code))
            self.note(f"{node.name} HAS ENDED BY ITSELF with {code}")
            await asyncio.sleep(RESTART_DELAY)

    async def _probe(self, node: Node) -> None:
        """Ask whether a node is ready, as the platform does."""
        misses = 0
        while True:
            answer = await ask(
                node.ready,
                "GET",
                "/tarragonrudder/readyz",
                (("Host", node.ready),),
                timeout=0.9,
            )
            misses = 0 if answer.status == 200 else misses + 1
            if misses == 0:
                node.in_rotation = True
            elif misses >= 2:
                node.in_rotation = False
            await asyncio.sleep(READY_PERIOD if node.in_rotation else 0.2)


def make_route(name: str, kind: str, service: str, **changes: t.Any) -> dict:
    """Return a route of the operator's configuration with the prefix ``/NAME/``."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 5000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "allow-anonymous": False,
    }
    if kind == "streaming":
        route |= {"sticky": True, "resumable": True, "gap-aim-ms": 250}
    return {**route, **changes}


def make_configuration(
    version: int, routes: list[dict], tenants: list[dict], **changes: t.Any
) -> dict:
    """Return an operator's configuration of a model service and a plain one."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engines",
                "health-path": "/healthz",
                "max-connections": 1068,
                "protocol": "h1",
                "tls": False,
                "engine": ENGINE,
            },
            {
                "name": "register",
                "health-path": "/healthz",
                "max-connections": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": tenants,
        **changes,
    }


def run_case(
    play: t.Callable[[Deployment, bool], t.Awaitable[bool]], record: pathlib.Path
) -> t.NoReturn:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 else.

    Parameters
    ----------
    play : callable
        Gets the deployment and whether there is the trouble; tells whether the rule
        held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            deployment = Deployment(pathlib.Path(folder))
            try:
                async with asyncio.timeout(115.0):
                    held = await play(deployment, has_trouble)
            except Exception as error:  # a fault of the case breaks no rule
                deployment.note(f"the case couldn't run: {error!r}")
                return 2
            finally:
                await deployment.close()
                for node in deployment.nodes:
                    with contextlib.suppress(OSError):
                        _note_traceback(deployment, node)
                deployment.write_record(record)
            return 0 if held else 1

    raise SystemExit(asyncio.run(run()))


def _note_traceback(deployment: Deployment, node: Node) -> None:
    """Add the last line of the last traceback that a process has written, if any."""
    lines = node.log.read_text("utf-8", "replace").splitlines()
    traces = [line.strip(" |+-") for line in lines if not line.startswith("{")]
    found = [line for line in traces if line and "Error" in line or "Invalid" in line]
    if found:
        deployment.note(f"log of {node.name}, last exception: {found[-1][:300]}")


def _find_ports(ip: str, count: int) -> list[int]:
    """Return free ports of an address, of which the last is followed by a free one."""
    with contextlib.ExitStack() as stack:
        check = stack.enter_context(socket.socket())
        try:
            check.bind((ip, METRICS_PORT))
        except OSError as error:
            raise NotRunnable(f"{ip}:{METRICS_PORT} is taken") from error
        found: list[int] = []
        candidates = iter(range(random.randrange(10000, 20000, 10), 30000))
        while len(found) < count:
            port = next(candidates)
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind((ip, port))
                found.append(port)
    return found
