"""The planner on a site with several model services."""

import pytest
import trio

from tests.site.site import ENGINE, make_configuration, open_site
from tests.site.upstream import UpstreamStandIn

# An engine of this kind holds 27 of the 80 layers.
KIND = {"name": "third", "mb": 72000.0, "pace": 2.4, "read-x": 3.2}
HELD = ((0, 26), (27, 53), (53, 79), (0, 26))


@pytest.mark.parametrize("count", [1, 2, 3])
async def test_lost_engine_is_replaced_whatever_other_services_want(count):
    # With two services no engine was moved after a loss: the one that wants no move
    # set back the time since when the other one had wanted its own.
    names = [f"engines-{number}" for number in range(count)]
    services = []
    for name in names:
        engine = {**ENGINE, "kinds": [KIND]}
        services.append({"name": name, "max-connections": 1068, "engine": engine})
    async with open_site(make_configuration(services=services)) as site:
        engines = {}
        for name in names:
            engines[name] = [
                UpstreamStandIn(f"{name}-{n}", name, kind="third", layers=layers)
                for n, layers in enumerate(HELD)
            ]
            for engine in engines[name]:
                await site.nursery.start(engine.run)
                entry = engine.describe(kind="third")
                site.store.put(f"servers/{engine.name}", entry)
        node = await site.add_node()
        with trio.fail_after(5.0):
            while "tarragonrudder/planner" not in site.store.items:
                await trio.sleep(0.05)
        await trio.sleep(1.0)
        lost = engines[names[0]][1]
        site.store.remove(f"servers/{lost.name}")
        with trio.fail_after(5.0):
            while not any(engine.orders for engine in engines[names[0]]):
                await trio.sleep(0.05)
        for name in names[1:]:
            assert not any(engine.orders for engine in engines[name])
        assert node.daemon.is_ready
