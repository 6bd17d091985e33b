"""The planner on a site with several model services."""

import contextlib

import pytest
import trio

from tarragonrudder.core.placement.loading import LoadingScheduler
from tests.site.site import ENGINE, make_configuration, open_site
from tests.site.upstream import UpstreamStandIn

# An engine of this kind holds 27 of the 80 layers.
KIND = {"name": "third", "mb": 72000.0, "pace": 2.4, "read-x": 3.2}
HELD = ((0, 26), (27, 53), (53, 79), (0, 26))


@contextlib.asynccontextmanager
async def open_services(count):
    """Run a site with loaded engines of some services, and its planner."""
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
        yield site, node, engines


@pytest.mark.parametrize("count", [1, 2, 3])
async def test_lost_engine_is_replaced_whatever_other_services_want(count):
    # With two services no engine was moved after a loss: the one that wants no move
    # set back the time since when the other one had wanted its own.
    async with open_services(count) as (site, node, engines):
        first, *others = engines
        lost = engines[first][1]
        site.store.remove(f"servers/{lost.name}")
        with trio.fail_after(5.0):
            while not any(engine.orders for engine in engines[first]):
                await trio.sleep(0.05)
        for name in others:
            assert not any(engine.orders for engine in engines[name])
        assert node.daemon.is_ready


async def test_fault_in_the_plan_of_one_service_leaves_others_their_own(monkeypatch):
    # The others, planned behind it, got no orders either.
    plan = LoadingScheduler.plan

    def plan_but_one(self, *args):
        if self.service == "engines-0":
            raise RuntimeError("unexpected")
        return plan(self, *args)

    async with open_services(2) as (site, _, engines):
        monkeypatch.setattr(LoadingScheduler, "plan", plan_but_one)
        site.store.remove("servers/engines-1-1")
        with trio.fail_after(5.0):
            while not any(engine.orders for engine in engines["engines-1"]):
                await trio.sleep(0.05)


async def test_node_without_a_configuration_leaves_planning_to_others():
    # It kept the planner's lease, and no engine was loaded by any node.
    async with open_site({}) as site:
        site.store.put("op/config", b"{}")
        await site.add_node(ready=False)
        await trio.sleep(2.5)
        assert "tarragonrudder/planner" not in site.store.items
