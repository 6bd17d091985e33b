"""The operator takes away all API keys; requests must get 401 from then on."""

import asyncio
import pathlib

from review.standins.deployment import (
    Deployment,
    NotRunnable,
    make_configuration,
    make_route,
    run_case,
)

KEY = "n2ctnfzs989anu6wsjnb"
NEVER_HELD = "guess-0000000000000"
NODES = 3
CONFIG_BOUND = 2.0  # seconds, "config-ms"
OUTER_BOUND = 5.0  # seconds, "revoke-ms"; the longest that any page names
REQUESTS = 5  # of each kind on each node
ROUTES = [
    make_route("record", "non_idempotent", "register", **{"max-attempts": 1}),
    make_route("status", "idempotent", "register"),
]


async def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether no request ran with a key that no version allows any more."""
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    await deployment.start_store(make_configuration(7, ROUTES, tenants))
    for number in range(3):
        await deployment.add_worker(f"i-register{number}", "register")
    await deployment.start_nodes(NODES)
    await send(deployment, "before", KEY)
    await send(deployment, "guess-before", NEVER_HELD)
    kept = [] if has_trouble else [KEY]
    tenants = [{"name": "hule930", "api-keys": kept, "priority": 1}]
    deployment.store.put("op/config", make_configuration(9, ROUTES, tenants))
    deployment.note(f"version 9 is acknowledged, keys of hule930: {kept}")
    await asyncio.sleep(CONFIG_BOUND + OUTER_BOUND + 1.0)
    await send(deployment, "after", KEY)
    await send(deployment, "guess-after", NEVER_HELD)
    broken = 0
    for worker in deployment.workers:
        for run in worker.runs:
            guessed = run.request.startswith("guess")
            dropped = has_trouble and run.request.startswith("after")
            broken += guessed or dropped
    deployment.note(f"{broken} requests ran that no version in force allows")
    served = sum(len(worker.runs) for worker in deployment.workers)
    if served < NODES * REQUESTS * len(ROUTES):
        raise NotRunnable("too few requests ran before the change")
    return broken == 0


async def send(deployment: Deployment, name: str, key: str) -> None:
    """Send requests with a key to each node."""
    for node in deployment.nodes:
        for number in range(REQUESTS):
            for route, method in (("record", "POST"), ("status", "GET")):
                await deployment.request(
                    node,
                    f"{name}-{route}-{node.name}-{number}",
                    f"/{route}/{number}",
                    key,
                    method,
                    b"excusal" if method == "POST" else b"",
                )


run_case(play, pathlib.Path(__file__).parent / "record.txt")
