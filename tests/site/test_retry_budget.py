"""Tests of the fleet's retry budget when nodes restart or the store forgets them."""

import httpx

from tarragonrudder.platform.daemon import NODE_LEASE_TTL
from tests.site.site import open_site
from tests.site.test_silence import spend_retries
from tests.site.upstream import Behavior, UpstreamStandIn


async def test_exhausted_budget_is_told():
    async with open_site() as site:
        engines = [UpstreamStandIn(f"e-{n}", layers=(0, 79)) for n in (1, 2)]
        for engine in engines:
            engine.behavior = Behavior(reset=True)
        await site.add(*engines)
        node = await site.add_node()
        spend_retries(node, "engines")
        lines = []
        node.daemon._telemetry._decision_log.write = lambda event, *_, **fields: (
            lines.append((event, fields))
        )
        await node.ask("/draft/1")
        async with httpx.AsyncClient() as client:
            metrics = (await client.get(node.metrics)).text
    (told,) = [fields for event, fields in lines if event == "retries_exhausted"]
    assert told["service"] == "engines"
    assert told["spent"] + 1 > told["allowed"] > 0.0
    assert told["nodes"] == 1
    assert 0.0 < told["uptime"] < NODE_LEASE_TTL
    spent = f'tarragonrudder_retries_spent{{service="engines"}} {told["spent"]}'
    assert spent in metrics
