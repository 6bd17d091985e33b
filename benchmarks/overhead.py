"""Overhead of the router: added latency and processor time per token.

Streams of a fixed token rate are read directly from an engine and through a node
in the same run. The node's processor time is read from the operating system. Run
it with ``python -m benchmarks.overhead``; it takes about a minute.
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
TOKENS = 200  # per stream
INTERVAL = 0.04  # mean seconds between tokens of a stream
WRITE_SIZES = (1, 4)  # tokens per write of the engine
TARGET_RATE = 2400  # tokens per second that one node must carry
_SENT_AT = re.compile(rb"(\d{9,}) ")


@dataclasses.dataclass(frozen=True, slots=True)
class StreamTimings:
    """Delays of the tokens of concurrent streams.

    `median` and `p95` are in milliseconds; `seconds` is the whole duration.
    """

    tokens: int
    seconds: float
    median: float
    p95: float


async def read_stream(port: int, path: str, body: bytes, delays: list[float]) -> None:
    """Read one stream and append each token's delay in ms."""
    head = (
        f"POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(head.encode() + body)
        received_tokens = 0
        unparsed = b""
        while received_tokens < TOKENS:
            data = await stream.receive_some()
            if not data:
                raise RuntimeError(
                    f"a stream ended after {received_tokens} tokens: {unparsed!r}"
                )
            now = time.monotonic_ns()
            unparsed += data
            for match in _SENT_AT.finditer(unparsed):
                delays.append((now - int(match.group(1))) / 1e6)
                received_tokens += 1
            unparsed = unparsed[-200:] if not unparsed.endswith(b"\n") else b""


async def read_streams(port: int, path: str, count: int) -> StreamTimings:
    """Read `count` streams concurrently."""
    delays: list[float] = []
    started_at = time.monotonic()
    async with trio.open_nursery() as nursery:
        for index in range(count):
            nursery.start_soon(read_stream, port, path, make_body(path, index), delays)
            await trio.sleep(INTERVAL / count)
    seconds = time.monotonic() - started_at
    delays.sort()
    median = delays[len(delays) // 2]
    p95 = delays[len(delays) * 95 // 100]
    return StreamTimings(len(delays), seconds, median, p95)


def make_body(path: str, index: int) -> bytes:
    """Return the request body of one stream, for a node or for the engine."""
    body: dict[str, t.Any] = {"max_tokens": TOKENS}
    if path == "/v1/generate":
        body.update(request=f"direct-{index}", attempt=1)
    else:
        messages = [{"role": "user", "content": f"stream {index}"}]
        body.update(model="jury", stream=True, messages=messages)
    return json.dumps(body).encode()


def read_processor_time(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(folder: pathlib.Path, tokens_per_write: int) -> None:
    """Measure one write size of the engine and print its rows."""
    cluster = Cluster(folder, node_count=1, engines=())
    (port,) = find_ports(1)
    command = [
        sys.executable,
        "-m",
        "benchmarks.paced_engine",
        str(port),
        str(INTERVAL),
    ]
    engine_process = subprocess.Popen([*command, str(tokens_per_write)])
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
            processor_seconds = read_processor_time(pid) - before
            print_row(tokens_per_write, count, direct, routed, processor_seconds)
    finally:
        engine_process.terminate()
        engine_process.wait()
        cluster.close()


def print_row(
    tokens_per_write: int,
    count: int,
    direct: StreamTimings,
    routed: StreamTimings,
    processor_seconds: float,
) -> None:
    """Print the row of one number of streams."""
    seconds_per_token = processor_seconds / routed.tokens
    print(
        f"| {tokens_per_write} | {count} | {routed.tokens / routed.seconds:.0f} "
        f"| {direct.median:.2f} / {direct.p95:.2f} "
        f"| {routed.median:.2f} / {routed.p95:.2f} "
        f"| {seconds_per_token * 1e6:.0f} | {1 / seconds_per_token:.0f} |",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    print(
        "| tokens together | streams | tokens/s | direct ms p50 / p95 "
        "| through a node ms p50 / p95 | processor us/token | tokens/s on a core |"
    )
    print("|---|---|---|---|---|---|---|")
    for tokens_per_write in WRITE_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            measure(pathlib.Path(folder), tokens_per_write)
    print(f"\ntarget: {TARGET_RATE} tokens/s on a core of a node")


if __name__ == "__main__":
    main()
