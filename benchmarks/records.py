"""Platform calls and node-to-node bytes of action records, on a virtual clock.

Run it with ``python -m benchmarks.records``. The same core runs against a fake
platform that answers in 2 ms and services that answer in 20 ms.
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
MEASURED = 15.0  # seconds
RESEND_AFTER = 3.0  # seconds
ANSWER = b'{"number": 1234, "court": "Ferrara", "state": "excused"}'
PER_KEY = RecordOptions(
    shards=10_000_000, slots=1, commit_interval=0.0, max_direct_nodes=1_000
)

SHARDED = RecordOptions(max_direct_nodes=0)
DIRECT = RecordOptions(max_direct_nodes=1_000)


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet and its non-idempotent calls."""

    name: str
    nodes: int
    rate: float


SIZES = (
    Size("today, 3/s", 7, 3.0),
    Size("two years, 5 %: 170/s", 400, 170.0),
    Size("two years, 10 %: 340/s", 400, 340.0),
)
WAYS = ("per key", "shard, no owner", "shard, owner", "memory of owner")


class MeasuredWorld(RecordFleet):
    """Counts the bytes between nodes; may keep records in owners' memory."""

    def __init__(self, count: int, options: RecordOptions, memory: bool) -> None:
        self.memory = memory
        self.sent_bytes: Counter[str] = Counter()
        super().__init__(count, options, services=3)
        self.answer_body = ANSWER

    def replace(self, name: str) -> None:
        """Start an empty node; its memory is lost."""
        if self.memory:
            lost = [key for key in self.values if key.startswith(f"{name}:")]
            for key in lost:
                del self.values[key]
        super().replace(name)

    def _swap(self, name: str, action: SwapKey) -> None:
        if self.memory:
            key = f"{name}:{action.key}"
            action = SwapKey(action.tag, key, action.expected, action.value)
        super()._swap(name, action)

    def _read(self, name: str, action: ReadKey) -> None:
        if self.memory:
            action = ReadKey(action.tag, f"{name}:{action.key}")
        super()._read(name, action)

    def _send_peer(self, name: str, action: SendPeerMessage) -> None:
        body = encode_message(name, action.node, action.message, self.now)
        size = len(body) + count_header_bytes(len(body))
        self.sent_bytes[name] += size
        self.sent_bytes[action.node] += size
        super()._send_peer(name, action)


def count_header_bytes(length: int) -> int:
    """Return the bytes of a message's HTTP request and response heads."""
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


def make_world(way: str, size: Size) -> MeasuredWorld:
    options = {"per key": PER_KEY, "shard, no owner": DIRECT}.get(way, SHARDED)
    return MeasuredWorld(size.nodes, options, way == "memory of owner")


def load(world: MeasuredWorld, size: Size, seconds: float, resend: bool) -> None:
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
            again = at + RESEND_AFTER
            world.at(again, lambda node=other, key=key: world.send(node, key))


def measure(way: str, size: Size) -> str:
    world = make_world(way, size)
    load(world, size, WARM_UP + MEASURED, resend=False)
    world.run(WARM_UP)
    world.counts.clear()
    world.sent_bytes.clear()
    answered = set(world.answers)
    world.run(MEASURED)
    delays = []
    for request, (at, _) in world.answers.items():
        if request not in answered and world.describe_answer(request) == "201":
            delays.append((at - world.sent[request].at - world.service_delay) * 1e3)
    delays.sort()
    actions = len(delays)
    writes = 0 if world.memory else world.counts["writes"]
    reads = 0 if world.memory else world.counts["reads"]
    busiest = max(world.sent_bytes.values(), default=0) / MEASURED
    mean = sum(world.sent_bytes.values()) / len(world.hosts) / MEASURED
    return (
        f"{size.name:24}{way:18}{actions / MEASURED:8.1f}{writes / MEASURED:9.1f}"
        f"{writes / actions:9.2f}{reads / MEASURED:9.1f}"
        f"{world.counts['conflicts'] / MEASURED:9.1f}{statistics.median(delays):9.0f}"
        f"{delays[int(0.99 * actions)]:9.0f}{mean:9.0f}{busiest:9.0f}"
    )


def count_doubled(way: str, size: Size) -> int:
    """Replace one node in seven under load; return keys that ran twice."""
    world = make_world(way, size)
    load(world, size, 20.0, resend=True)
    victims = list(world.hosts)[::7]
    for victim in victims:
        world.at(world.now + 10.0, lambda victim=victim: world.replace(victim))
    world.run(40.0)
    runs = Counter(world.sent[run.request].key for run in world.journal)
    return sum(count > 1 for count in runs.values())


def measure_owner() -> str:
    """Run one shard until its ring is full; return its costs."""
    options = RecordOptions(commit_interval=0.0, retention=1e9, seal_age=1e9)
    values: dict[str, tuple[bytes, int]] = {}
    tracemalloc.start()
    shard = Shard(0, "/records/", options)
    revision = swaps = written = stored = refused = number = 0
    now = 1e9
    spent = 0.0
    while not refused:
        key = compute_digest(f"key-{number}")
        writer = f"call-{number:032x}"
        number += 1
        for command in (
            Claim(key, key, writer),
            Finish(key, key, writer, Finished(201, "application/json", ANSWER)),
        ):
            now += 1.0
            begun = time.process_time()
            shard.submit(QueuedCommand("t", command, now + 9.0, now))
            pending: list[Action] = shard.advance(now)
            spent += time.process_time() - begun
            while pending:
                action = pending.pop(0)
                begun = time.process_time()
                match action:
                    case ReadKey(tag=tag, key=name):
                        value, known = values.get(name, (None, 0))
                        pending += shard.handle_value(tag, value, known, now)
                    case SwapKey(tag=tag, key=name, value=value):
                        revision += 1
                        swaps += 1
                        written += len(value)
                        values[name] = (value, revision)
                        pending += shard.handle_swapped(tag, revision, now)
                    case SetTimer() | CountMetric():
                        pass
                spent += time.process_time() - begun
            for decided in shard.take_results():
                refused += decided.record is None
    stored = sum(len(value) for value, _ in values.values())
    memory = tracemalloc.get_traced_memory()[0] - stored
    tracemalloc.stop()
    return (
        f"one shard, filled: {number} actions in {stored / 1e6:.2f} MB, "
        f"{stored / number:.0f} B an action; mean value written "
        f"{written / swaps / 1024:.0f} KiB; {spent / swaps * 1e3:.2f} ms of a core "
        f"a swap (traced); {memory / 1e6:.1f} MB in the owner's memory"
    )


def main() -> None:
    print(
        f"{'size':24}{'way':18}{'act/s':>8}{'writes/s':>9}{'w/act':>9}{'reads/s':>9}"
        f"{'confl/s':>9}{'p50 ms':>9}{'p99 ms':>9}{'B/s mean':>9}{'B/s max':>9}"
    )
    for size in SIZES:
        for way in WAYS:
            print(measure(way, size), flush=True)
    print("\nkeys that ran twice when one node in seven is replaced under resends")
    for way in WAYS:
        print(f"{way:18}{count_doubled(way, SIZES[0]):4}", flush=True)
    print("\n" + measure_owner())


if __name__ == "__main__":
    main()
