"""A deployment with two model services loses one engine for good.

A spare engine could take over its layers, as it does with one model service.
"""

import asyncio
import pathlib

from review.standins.clients import Call, call_regularly, measure_share
from review.standins.deployment import (
    ENGINE,
    Deployment,
    make_configuration,
    make_route,
    run_case,
)

KEY = "n2ctnfzs989anu6wsjnb"
NODES = 3
ENGINES = 4  # of each model service
CALM = 4.0  # seconds of calls before the loss
AFTER = 50.0  # seconds of calls after it
SHARE = 0.25
ROUTES = [
    make_route("draft", "streaming", "engines"),
    make_route("summary", "streaming", "engines-2"),
    make_route("record", "non_idempotent", "register", **{"max-attempts": 1}),
]


async def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether each kind of request is served often enough over the day."""
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    configuration = make_configuration(7, ROUTES, tenants)
    models = [{**ENGINE["models"][0], "name": "model-b"}]
    second = {
        **configuration["services"][0],
        "name": "engines-2",
        "engine": {**ENGINE, "models": models},
    }
    configuration["services"].append(second)
    await deployment.start_store(configuration)
    engines = []
    for service in ("engines", "engines-2"):
        for number in range(ENGINES):
            name = f"i-{service}-{number}"
            engines.append(await deployment.add_worker(name, service, kind="a100"))
    for number in range(3):
        await deployment.add_worker(f"i-register{number}", "register")
    await deployment.start_nodes(NODES)
    await deployment.wait_loaded()
    calls: list[Call] = []
    names = ("draft", "summary", "record")
    calling = asyncio.create_task(call_regularly(deployment, KEY, names, calls))
    await asyncio.sleep(CALM)
    if has_trouble:
        lost = engines[1]
        deployment.note(f"{lost.name} is lost for good, layers {lost.layers}")
        await lost.crash(None)
    await asyncio.sleep(AFTER)
    calling.cancel()
    shares = []
    for route in names:
        found = [call for call in calls if call.route == route]
        shares.append(measure_share(found))
        deployment.note(f"{route}: {shares[-1]:.1%} of {len(found)} calls are served")
    overall = measure_share(calls)
    deployment.note(f"all: {overall:.1%} of {len(calls)} calls are served")
    for engine in engines:
        deployment.note(f"{engine.name}: layers {engine.layers}, {engine.orders}")
    return min(shares) >= SHARE * overall > 0.0


run_case(play, pathlib.Path(__file__).parent / "record.txt")
