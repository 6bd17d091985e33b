"""Latency of requests while nobody reads the log."""

import contextlib
import fcntl
import os
import statistics

import httpx
import pytest
import trio

from tarragonrudder.edges import decision_log
from tests.site.site import Node, open_site
from tests.site.upstream import UpstreamStandIn

REQUESTS = 120
CALLERS = 12
METRIC = "tarragonrudder_lines_dropped"
# The latency must be the same, apart from what a busy machine adds to some requests.
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 0.02  # seconds


@contextlib.contextmanager
def redirect_output(read: bool):
    """Redirect standard output to a pipe of 4 KB that is read, or else full."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    with contextlib.suppress(BlockingIOError):
        while not read:
            os.write(writer, b"\n" * 4096)
    saved = os.dup(1)
    os.dup2(writer, 1)
    try:
        yield reader
    finally:
        os.dup2(saved, 1)
        os.set_blocking(1, True)
        for descriptor in (saved, reader, writer):
            os.close(descriptor)


async def drain(reader: int) -> None:
    while True:
        with contextlib.suppress(BlockingIOError):
            os.read(reader, 65536)
        await trio.sleep(0.001)


async def read_dropped(node: Node) -> int:
    async with httpx.AsyncClient(trust_env=False) as client:
        text = (await client.get(node.metrics)).text
    (line,) = [x for x in text.splitlines() if x.startswith(METRIC + " ")]
    return int(float(line.split()[1]))


async def measure(read: bool) -> tuple[list[float], int]:
    """Return the latency of each request in seconds, and the dropped lines."""
    took: list[float] = []

    async def ask_on(node: Node) -> None:
        for _ in range(REQUESTS // CALLERS):
            answer = await node.ask("/draft/1")
            assert (answer.status, answer.whole) == (200, True)
            took.append(answer.took)

    with redirect_output(read) as reader:
        async with open_site() as site:
            if read:
                site.nursery.start_soon(drain, reader)
            await site.add(UpstreamStandIn("e-1", layers=(0, 79), events=20))
            node = await site.add_node()
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(ask_on, node)
            dropped = await read_dropped(node)
    return took, dropped


async def test_a_stuck_log_delays_no_request(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(decision_log, "BUFFER_BYTES", 4096)
    monkeypatch.setattr(decision_log, "ROUTINE_RATE", 1000.0)
    free, none = await measure(read=True)
    stuck, dropped = await measure(read=False)
    assert dropped > none == 0
    limit = ALLOWED_RATIO * statistics.median(free) + ALLOWED_EXTRA
    assert statistics.median(stuck) <= limit
