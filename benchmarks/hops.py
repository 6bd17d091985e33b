"""Processor cost per token of calling each hop against reading one stream.

A node that drives the chain itself makes one call per hop and token. Otherwise
the engines pass tokens on, and the node reads the stream of the first one.
Run it with ``python -m benchmarks.hops``; it takes some seconds.
"""

import subprocess
import sys
import time

import httpx
import trio
from tests.standins.cluster import find_ports, is_responding, wait_until

from tarragonrudder.edges.engine_protocol import StreamDecoder

CALLS = 2000
STREAMS = 16
TOKENS = 250  # per stream
HOPS = (2, 4, 8)
ACTIVATION = b'{"request":"r","attempt":1,"position":7,"activation":"' + b"A" * 8192
INTERVAL = 0.004  # seconds


async def measure_calls(address: str) -> float:
    """Return the processor seconds of the call to one hop."""
    async with httpx.AsyncClient() as client:
        started_at = time.process_time()
        for _ in range(CALLS):
            response = await client.post(address + "/v1/hop", content=ACTIVATION)
            response.raise_for_status()
        return (time.process_time() - started_at) / CALLS


async def measure_streams(address: str) -> float:
    """Return the processor seconds of one token of a stream."""

    async def follow(client: httpx.AsyncClient) -> None:
        decoder = StreamDecoder("r", 1, "head")
        body = {"request": "r", "attempt": 1, "max_tokens": TOKENS}
        url = address + "/v1/generate"
        async with client.stream("POST", url, json=body) as response:
            async for data in response.aiter_raw():
                decoder.feed(data)

    async with httpx.AsyncClient(timeout=None) as client:
        started_at = time.process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(follow, client)
        return (time.process_time() - started_at) / (STREAMS * TOKENS)


def main() -> None:
    """Print the table."""
    (port,) = find_ports(1)
    command = [
        sys.executable,
        "-m",
        "benchmarks.paced_engine",
        str(port),
        str(INTERVAL),
        "1",
    ]
    engine_process = subprocess.Popen(command)
    address = f"http://127.0.0.1:{port}"
    try:
        wait_until(lambda: is_responding(address + "/livez"), 10.0, "the engine")
        call_seconds = trio.run(measure_calls, address)
        stream_token_seconds = trio.run(measure_streams, address)
    finally:
        engine_process.terminate()
        engine_process.wait()
    print("| who drives | hops | processor us/token | tokens/s on a core |")
    print("|---|---|---|---|")
    for hops in HOPS:
        seconds_per_token = hops * call_seconds
        print(
            f"| the node, hop by hop | {hops} | {seconds_per_token * 1e6:.0f} "
            f"| {1 / seconds_per_token:.0f} |"
        )
    print(
        f"| the engines | any | {stream_token_seconds * 1e6:.0f} "
        f"| {1 / stream_token_seconds:.0f} |"
    )


if __name__ == "__main__":
    main()
