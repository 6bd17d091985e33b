"""Platform calls and peer traffic that call records cost, on a virtual clock.

Run it with ``python -m benchmarks.records``. The core runs against a fake platform
that answers in 2 ms and services that answer in 20 ms.
"""

import random
import statistics
import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass

import httpx
from tests.standins.record_fleet import RecordFleet

from tarragonrudder.core.calls.record import Claim, Finish, Finished, compute_digest
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.shard import QueuedCommand, Shard
from tarragonrudder.core.domain.action import (
    Action,
    CountMetric,
    ReadKey,
    SendPeerMessage,
    SetTimer,
    SwapKey,
)
from tarragonrudder.edges.peer import encode_message

WARM_UP = 10.0  # seconds
MEASURED_SECONDS = 15.0  # after the warm-up
RESEND_AFTER = 3.0  # seconds
ANSWER = b'{"number": 1234, "court": "Ferrara", "state": "excused"}'
KEY_OPTIONS = RecordOptions(
    shards=10_000_000, slots=1, commit_interval=0.0, max_direct_nodes=1_000
)

OWNER_OPTIONS = RecordOptions(max_direct_nodes=0)
DIRECT_OPTIONS = RecordOptions(max_direct_nodes=1_000)


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet size; `rate` is non-idempotent calls per second of the fleet."""

    name: str
    nodes: int
    rate: float


SIZES = (
    Size("today, 3/s", 7, 3.0),
    Size("two years, 5 %: 170/s", 400, 170.0),
    Size("two years, 10 %: 340/s", 400, 340.0),
)
VARIANTS = ("per key", "shard, no owner", "shard, owner", "memory of owner")


class MeasuringWorld(RecordFleet):
    """Counts the bytes between nodes.

    With `in_memory`, each node reads and writes its own copy of the platform store,
    which is lost with the node. This models records in their owners' memory.
    """

    def __init__(self, count: int, options: RecordOptions, in_memory: bool) -> None:
        self.in_memory = in_memory
        self.sent_bytes: Counter[str] = Counter()
        super().__init__(count, options, services=3)
        self.answer_body = ANSWER

    def replace(self, name: str) -> None:
        """Replace a node by an empty one; records in its memory are lost."""
        if self.in_memory:
            lost = [key for key in self.values if key.startswith(f"{name}:")]
            for key in lost:
                del self.values[key]
        super().replace(name)

    def _swap(self, name: str, action: SwapKey) -> None:
        if self.in_memory:
            key = f"{name}:{action.key}"
            action = SwapKey(action.tag, key, action.expected, action.value)
        super()._swap(name, action)

    def _read(self, name: str, action: ReadKey) -> None:
        if self.in_memory:
            action = ReadKey(action.tag, f"{name}:{action.key}")
        super()._read(name, action)

    def _send_peer(self, name: str, action: SendPeerMessage) -> None:
        body = encode_message(name, action.node, action.message, self.now)
        size = len(body) + count_header_bytes(len(body))
        self.sent_bytes[name] += size
        self.sent_bytes[action.node] += size
        super()._send_peer(name, action)


def count_header_bytes(length: int) -> int:
    """Return the bytes of a message's HTTP request and response headers."""
    request = httpx.Request(
        "POST",
        "http://10.0.0.1:7001/peer/message",
        headers={
            "user-agent": f"python-httpx/{httpx.__version__}",
            "accept": "*/*",
            "accept-encoding": "gzip, deflate",
            "connection": "keep-alive",
            "content-type": "application/json",
            "x-tarragonrudder-signature": "0" * 64,
            "content-length": str(length),
        },
    )
    head = sum(len(name) + len(value) + 4 for name, value in request.headers.raw)
    answer = (
        "HTTP/1.1 204 \r\ndate: Thu, 03 Dec 2026 22:25:00 GMT\r\n"
        "server: hypercorn-h11\r\n\r\n"
    )
    return len("POST /peer/message HTTP/1.1\r\n\r\n") + head + len(answer)


def make_world(variant: str, size: Size) -> MeasuringWorld:
    options = {"per key": KEY_OPTIONS, "shard, no owner": DIRECT_OPTIONS}.get(
        variant, OWNER_OPTIONS
    )
    return MeasuringWorld(size.nodes, options, variant == "memory of owner")


def schedule_requests(
    world: MeasuringWorld, size: Size, seconds: float, resend: bool
) -> None:
    source = random.Random(7)
    names = list(world.hosts)
    at = world.now
    end = at + seconds
    number = 0
    while True:
        at += source.expovariate(size.rate)
        if at >= end:
            return
        key = f"key-{number}"
        number += 1
        node, other = source.sample(names, 2)
        world.at(at, lambda node=node, key=key: world.send(node, key))
        if resend:
            resend_at = at + RESEND_AFTER
            world.at(resend_at, lambda node=other, key=key: world.send(node, key))


def measure(variant: str, size: Size) -> str:
    world = make_world(variant, size)
    schedule_requests(world, size, WARM_UP + MEASURED_SECONDS, resend=False)
    world.run(WARM_UP)
    world.counts.clear()
    world.sent_bytes.clear()
    answered_in_warm_up = set(world.answers)
    world.run(MEASURED_SECONDS)
    delays = []
    for request, (at, _) in world.answers.items():
        if (
            request not in answered_in_warm_up
            and world.describe_answer(request) == "201"
        ):
            delays.append((at - world.sent[request].at - world.service_delay) * 1e3)
    delays.sort()
    call_count = len(delays)
    writes = 0 if world.in_memory else world.counts["writes"]
    reads = 0 if world.in_memory else world.counts["reads"]
    max_bytes = max(world.sent_bytes.values(), default=0) / MEASURED_SECONDS
    mean_bytes = sum(world.sent_bytes.values()) / len(world.hosts) / MEASURED_SECONDS
    return (
        f"{size.name:24}{variant:18}{call_count / MEASURED_SECONDS:8.1f}"
        f"{writes / MEASURED_SECONDS:9.1f}"
        f"{writes / call_count:9.2f}{reads / MEASURED_SECONDS:9.1f}"
        f"{world.counts['conflicts'] / MEASURED_SECONDS:9.1f}"
        f"{statistics.median(delays):9.0f}"
        f"{delays[int(0.99 * call_count)]:9.0f}{mean_bytes:9.0f}{max_bytes:9.0f}"
    )


def count_repeated_executions(variant: str, size: Size) -> int:
    """Replace one node in seven under load; count the keys that ran twice."""
    world = make_world(variant, size)
    schedule_requests(world, size, 20.0, resend=True)
    replaced_nodes = list(world.hosts)[::7]
    for replaced_node in replaced_nodes:
        world.at(
            world.now + 10.0,
            lambda replaced_node=replaced_node: world.replace(replaced_node),
        )
    world.run(40.0)
    executions = Counter(world.sent[run.request].key for run in world.journal)
    return sum(count > 1 for count in executions.values())


def measure_full_shard() -> str:
    """Fill one shard until it refuses a command; return its costs as a line."""
    options = RecordOptions(commit_interval=0.0, retention=1e9, seal_age=1e9)
    values: dict[str, tuple[bytes, int]] = {}
    tracemalloc.start()
    shard = Shard(0, "/records/", options)
    revision = swaps = written_bytes = stored_bytes = refused_commands = number = 0
    now = 1e9
    processor_seconds = 0.0
    while not refused_commands:
        key = compute_digest(f"key-{number}")
        writer = f"call-{number:032x}"
        number += 1
        for command in (
            Claim(key, key, writer),
            Finish(key, key, writer, Finished(201, "application/json", ANSWER)),
        ):
            now += 1.0
            started_at = time.process_time()
            shard.submit(QueuedCommand("t", command, now + 9.0, now))
            pending: list[Action] = shard.advance(now)
            processor_seconds += time.process_time() - started_at
            while pending:
                action = pending.pop(0)
                started_at = time.process_time()
                match action:
                    case ReadKey(tag=tag, key=name):
                        value, stored_revision = values.get(name, (None, 0))
                        pending += shard.handle_value(tag, value, stored_revision, now)
                    case SwapKey(tag=tag, key=name, value=value):
                        revision += 1
                        swaps += 1
                        written_bytes += len(value)
                        values[name] = (value, revision)
                        pending += shard.handle_swapped(tag, revision, now)
                    case SetTimer() | CountMetric():
                        pass
                processor_seconds += time.process_time() - started_at
            for decided in shard.take_results():
                refused_commands += decided.record is None
    stored_bytes = sum(len(value) for value, _ in values.values())
    memory_bytes = tracemalloc.get_traced_memory()[0] - stored_bytes
    tracemalloc.stop()
    return (
        f"one shard, filled: {number} actions in {stored_bytes / 1e6:.2f} MB, "
        f"{stored_bytes / number:.0f} B an action; mean value written "
        f"{written_bytes / swaps / 1024:.0f} KiB; "
        f"{processor_seconds / swaps * 1e3:.2f} ms of a core "
        f"a swap (traced); {memory_bytes / 1e6:.1f} MB in the owner's memory"
    )


def main() -> None:
    print(
        f"{'size':24}{'way':18}{'act/s':>8}{'writes/s':>9}{'w/act':>9}{'reads/s':>9}"
        f"{'confl/s':>9}{'p50 ms':>9}{'p99 ms':>9}{'B/s mean':>9}{'B/s max':>9}"
    )
    for size in SIZES:
        for variant in VARIANTS:
            print(measure(variant, size), flush=True)
    print("\nkeys that ran twice when one node in seven is replaced under resends")
    for variant in VARIANTS:
        print(
            f"{variant:18}{count_repeated_executions(variant, SIZES[0]):4}", flush=True
        )
    print("\n" + measure_full_shard())


if __name__ == "__main__":
    main()
