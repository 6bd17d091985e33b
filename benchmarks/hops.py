"""Processor cost of a token: driving each hop by calls, or following a stream.

A node that drives the chain itself makes one call for each hop of each token.
Run it with ``python -m benchmarks.hops``; it takes some seconds.
"""

import subprocess
import sys
import time

import httpx
import trio
from tests.standins.cluster import find_ports, is_responding, wait_until

from tarragonrudder.edges.stream import StreamDecoder

CALLS = 2000
STREAMS = 16
TOKENS = 250  # of each stream
HOPS = (2, 4, 8)
ACTIVATION = b'{"request":"r","attempt":1,"position":7,"activation":"' + b"A" * 8192
INTERVAL = 0.004  # seconds


async def measure_calls(address: str) -> float:
    """Return the processor seconds of one hop's call."""
    async with httpx.AsyncClient() as client:
        begun = time.process_time()
        for _ in range(CALLS):
            response = await client.post(address + "/v1/hop", content=ACTIVATION)
            response.raise_for_status()
        return (time.process_time() - begun) / CALLS


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
        begun = time.process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(follow, client)
        return (time.process_time() - begun) / (STREAMS * TOKENS)


def main() -> None:
    """Print the table."""
    (port,) = find_ports(1)
    command = [sys.executable, "-m", "benchmarks.source", str(port), str(INTERVAL), "1"]
    source = subprocess.Popen(command)
    address = f"http://127.0.0.1:{port}"
    try:
        wait_until(lambda: is_responding(address + "/livez"), 10.0, "the engine")
        call = trio.run(measure_calls, address)
        token = trio.run(measure_streams, address)
    finally:
        source.terminate()
        source.wait()
    print("| who drives | hops | processor us/token | tokens/s on a core |")
    print("|---|---|---|---|")
    for hops in HOPS:
        each = hops * call
        print(f"| the node, hop by hop | {hops} | {each * 1e6:.0f} | {1 / each:.0f} |")
    print(f"| the engines | any | {token * 1e6:.0f} | {1 / token:.0f} |")


if __name__ == "__main__":
    main()
