"""The router's own overhead: added latency, and processor time for a token.

Streams of one pace are read straight from an engine and through a node, in one
run, and the node's processor time is read from the operating system. Run it
with ``python -m benchmarks.overhead``; it takes about a minute.
"""

import dataclasses
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time
import typing as t

import trio
from tests.standins.cluster import API_KEY, Cluster, EngineSpec, find_ports

STREAMS = (24, 60, 96)
TOKENS = 200  # of each stream
INTERVAL = 0.04  # seconds between tokens of a stream
TOKENS_TOGETHER = (1, 4)
TARGET_RATE = 2400  # tokens a second that one node must carry
_TEXT = re.compile(rb"(\d{9,}) ")


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What one set of streams showed; times in milliseconds."""

    tokens: int
    seconds: float
    median: float
    tail: float


async def read_stream(port: int, path: str, body: bytes, delays: list[float]) -> None:
    """Read one stream and note how long each token travelled, in ms."""
    head = (
        f"POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(head.encode() + body)
        seen = 0
        rest = b""
        while seen < TOKENS:
            data = await stream.receive_some()
            if not data:
                raise RuntimeError(f"a stream ended after {seen} tokens: {rest!r}")
            now = time.monotonic_ns()
            rest += data
            for match in _TEXT.finditer(rest):
                delays.append((now - int(match.group(1))) / 1e6)
                seen += 1
            rest = rest[-200:] if not rest.endswith(b"\n") else b""


async def read_streams(port: int, path: str, count: int) -> Reading:
    """Read `count` streams side by side."""
    delays: list[float] = []
    begun = time.monotonic()
    async with trio.open_nursery() as nursery:
        for index in range(count):
            nursery.start_soon(read_stream, port, path, make_body(path, index), delays)
            await trio.sleep(INTERVAL / count)
    seconds = time.monotonic() - begun
    delays.sort()
    median = delays[len(delays) // 2]
    tail = delays[len(delays) * 95 // 100]
    return Reading(len(delays), seconds, median, tail)


def make_body(path: str, index: int) -> bytes:
    """Return the request of one stream, for a node or for the engine."""
    body: dict[str, t.Any] = {"max_tokens": TOKENS}
    if path == "/v1/generate":
        body.update(request=f"direct-{index}", attempt=1)
    else:
        messages = [{"role": "user", "content": f"stream {index}"}]
        body.update(model="jury", stream=True, messages=messages)
    return json.dumps(body).encode()


def read_processor_time(pid: int) -> float:
    """Return the seconds that a process has spent on a processor."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(folder: pathlib.Path, together: int) -> None:
    """Measure one pace of the engine and print its rows."""
    cluster = Cluster(folder, node_count=1, engines=())
    (port,) = find_ports(1)
    command = [
        sys.executable,
        "-m",
        "benchmarks.paced_engine",
        str(port),
        str(INTERVAL),
    ]
    source = subprocess.Popen([*command, str(together)])
    try:
        cluster.start_platform()
        cluster.engines = (EngineSpec("source", "0-11", 1e6),)
        cluster.addresses["source"] = f"http://127.0.0.1:{port}"
        cluster.start_service("register-1", "register")
        cluster.prepare_node("node-0")
        cluster.write_configuration()
        cluster.apply()
        cluster.start_process("node-0")
        cluster.wait_ready("node-0")
        node_port = int(cluster.addresses["node-0"].rpartition(":")[2])
        pid = cluster.processes["node-0"].pid
        for count in STREAMS:
            direct = trio.run(read_streams, port, "/v1/generate", count)
            before = read_processor_time(pid)
            routed = trio.run(read_streams, node_port, "/v1/chat/completions", count)
            spent = read_processor_time(pid) - before
            print_row(together, count, direct, routed, spent)
    finally:
        source.terminate()
        source.wait()
        cluster.close()


def print_row(
    together: int, count: int, direct: Reading, routed: Reading, spent: float
) -> None:
    """Print what one number of streams showed."""
    each = spent / routed.tokens
    print(
        f"| {together} | {count} | {routed.tokens / routed.seconds:.0f} "
        f"| {direct.median:.2f} / {direct.tail:.2f} "
        f"| {routed.median:.2f} / {routed.tail:.2f} "
        f"| {each * 1e6:.0f} | {1 / each:.0f} |",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    print(
        "| tokens together | streams | tokens/s | direct ms p50 / p95 "
        "| through a node ms p50 / p95 | processor us/token | tokens/s on a core |"
    )
    print("|---|---|---|---|---|---|---|")
    for together in TOKENS_TOGETHER:
        with tempfile.TemporaryDirectory() as folder:
            measure(pathlib.Path(folder), together)
    print(f"\ntarget: {TARGET_RATE} tokens/s on a core of a node")


if __name__ == "__main__":
    main()
