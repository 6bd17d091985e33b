"""Another writer puts an entry whose address can't be read below ``servers/``."""

import asyncio
import collections
import itertools
import pathlib
import time

from review.standins.deployment import (
    Deployment,
    make_configuration,
    make_route,
    run_case,
)

KEY = "n2ctnfzs989anu6wsjnb"
NODES = 3
ENGINES = 4
CALM = 4.0  # seconds of calls before the entry is written
LENGTH = 60.0  # seconds of calls after that
REPEAT = 1.2  # seconds after which the writer writes its entry again
CALL_PERIOD = 0.4  # seconds between two calls of one client
CLIENTS = 6
ENDS_PER_MACHINE, MACHINES = 3, 2  # by which the rule is broken
ROUTES = [
    make_route("draft", "streaming", "engines"),
    make_route("record", "non_idempotent", "register", **{"max-attempts": 1}),
]


async def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether fewer processes ended by themselves than the rule allows."""
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    await deployment.start_store(make_configuration(7, ROUTES, tenants))
    for number in range(ENGINES):
        await deployment.add_worker(f"i-engine{number}", "engines", kind="whole")
    for number in range(3):
        await deployment.add_worker(f"i-register{number}", "register")
    await deployment.start_nodes(NODES)
    await deployment.wait_loaded()
    numbers = itertools.count(1)
    clients = []
    for number in range(CLIENTS):
        clients.append(asyncio.create_task(call(deployment, number, numbers)))
    await asyncio.sleep(CALM)
    if has_trouble:
        deployment.note(
            f"another writer writes servers/i-other: {make_entry(deployment)}"
        )
    end = time.monotonic() + LENGTH
    while time.monotonic() < end:
        if has_trouble:
            deployment.store.put("servers/i-other", make_entry(deployment))
        await asyncio.sleep(REPEAT)
    for client in clients:
        client.cancel()
    cut = sum("not whole" in line for line in deployment.lines)
    deployment.note(f"answers that were missing or cut off: {cut}")
    ends = collections.Counter(each.node for each in deployment.exits)
    often = [node for node, count in ends.items() if count >= ENDS_PER_MACHINE]
    deployment.note(f"processes that ended by themselves: {dict(ends)}")
    return len(often) < MACHINES


def make_entry(deployment: Deployment) -> dict[str, object]:
    """Return an entry with the name of a port where its number is due."""
    host = deployment.workers[0].address.partition(":")[0]
    return {
        "service": "engines",
        "address": f"{host}:http",
        "zone": "zone-a",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "cold-left-ms": 0,
        "sequence": 0,
        "kind": "whole",
    }


async def call(deployment: Deployment, number: int, numbers: itertools.count) -> None:
    """Call nodes that are in rotation, one after the other."""
    while True:
        ready = [node for node in deployment.nodes if node.in_rotation]
        if ready:
            node = ready[next(numbers) % len(ready)]
            route = "draft" if number % 2 else "record"
            name = f"{route}-{next(numbers)}"
            usage = (("Model", "model-a"), ("Token-Usage", "100,40"))
            await deployment.request(node, name, f"/{route}/{name}", KEY, headers=usage)
        await asyncio.sleep(CALL_PERIOD)


run_case(play, pathlib.Path(__file__).parent / "record.txt")
