"""Tests of the fleet's retry budget when nodes restart or the store forgets them."""

import httpx
import pytest
import trio

from tarragonrudder.core.forwarding.usage_tracker import Usage
from tarragonrudder.platform.daemon import (
    MAINTENANCE_PERIOD,
    NODE_LEASE_TTL,
    PlatformDaemon,
)
from tarragonrudder.platform.node_settings import BoundsSettings
from tarragonrudder.platform.protocol import NODE_PREFIX
from tests.site.site import Node, open_site
from tests.site.test_silence import spend_retries
from tests.site.upstream import Behavior, UpstreamStandIn

WINDOW = 3.0  # seconds
SLACK = 60.0
NODES = 5
SPEND_PERIOD = 0.02  # seconds between two tries of each node to spend more
BOUNDS = BoundsSettings.model_validate(
    {"retry-budget-ratio": 0.0, "budget-window-s": WINDOW, "budget-slack": SLACK}
)


class Fleet:
    """Nodes in one process that spend all the retries that they may.

    Attributes
    ----------
    spent : list of float
        Time of each retry.
    """

    def __init__(self, site, nursery):
        self.site = site
        self.nursery = nursery
        self.spent = []
        self.running = {}
        self.seed = ""

    async def start_node(self, name):
        node = Node(self.site, (self.seed,) if self.seed else ())
        self.seed = self.seed or node.control
        settings = node.settings.model_copy(update={"node": name, "bounds": BOUNDS})
        daemon = PlatformDaemon(None, settings, int(node.metrics.split(":")[2][:-8]))
        scope = trio.CancelScope()
        self.running[name] = (daemon, scope)
        await self.nursery.start(self.run, daemon, scope)

    async def run(self, daemon, scope, task_status=trio.TASK_STATUS_IGNORED):
        with scope:
            task_status.started()
            await daemon.run()

    async def start(self):
        for number in range(NODES):
            await self.start_node(f"n-{number}")

    def power_off(self, *names):
        for name in names or tuple(self.running):
            self.running.pop(name)[1].cancel()
            if not self.running:
                self.seed = ""

    def lapse_leases(self):
        for key in [k for k in self.site.store.items if k.startswith(NODE_PREFIX)]:
            self.site.store._end(self.site.store.items[key][3])

    async def spend(self, period):
        until = trio.current_time() + period
        while (now := trio.current_time()) < until:
            for daemon, _ in self.running.values():
                while daemon.state.retry_budget.withdraw("engines", now):
                    self.spent.append(now)
            await trio.sleep(SPEND_PERIOD)

    def count_most(self):
        """Return the most retries within one window."""
        times = self.spent
        return max(
            sum(begin <= at < begin + 0.95 * WINDOW for at in times) for begin in times
        )

    def count_last(self):
        return sum(at > trio.current_time() - WINDOW for at in self.spent)


@pytest.mark.parametrize(
    "trouble",
    ["none", "power loss", "power loss and lapse", "lapse", "rolling", "silent store"],
)
async def test_restarts_and_lapsed_leases_do_not_multiply_the_budget(trouble):
    # Nodes that had just started took a share of the slack for few nodes, or twice.
    async with open_site() as site, trio.open_nursery() as nursery:
        await site.add(UpstreamStandIn("e-1", layers=(0, 79)))
        fleet = Fleet(site, nursery)
        await fleet.start()
        await trio.sleep(WINDOW + 0.5)
        await fleet.spend(0.2)
        match trouble:
            case "power loss":
                fleet.power_off()
                await fleet.start()
            case "power loss and lapse":
                fleet.power_off()
                fleet.lapse_leases()
                await fleet.start()
            case "lapse":
                fleet.lapse_leases()
            case "silent store":
                fleet.power_off()
                site.store.silent = True
                await fleet.start()
            case "rolling":
                for name in tuple(fleet.running):
                    fleet.power_off(name)
                    await fleet.start_node(name)
                    await fleet.spend(0.3)
        await fleet.spend(2.5 * WINDOW)
        assert fleet.count_most() <= SLACK
        assert fleet.count_last() >= SLACK / 2.0
        nursery.cancel_scope.cancel()


async def test_exhausted_budget_is_told():
    async with open_site() as site:
        engines = [UpstreamStandIn(f"e-{n}", layers=(0, 79)) for n in (1, 2)]
        for engine in engines:
            engine.behavior = Behavior(reset=True)
        await site.add(*engines)
        node = await site.add_node()
        await spend_retries(node, "engines")
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


@pytest.mark.parametrize("left", [0, 1])
async def test_lapsed_leases_do_not_raise_shares_of_a_node(left):
    # The node took the whole of an upstream's limit, and its own load for all.
    async with open_site() as site:
        engine = UpstreamStandIn("e-1", layers=(0, 79))
        await site.add(engine)
        keys = [f"{NODE_PREFIX}peer-{number}" for number in range(4)]
        for number, key in enumerate(keys):
            site.store.put(key, {"address": f"127.0.0.1:{number + 1}", "zone": "a"})
        node = await site.add_node()
        await trio.sleep(MAINTENANCE_PERIOD + 0.2)
        state = node.daemon.state
        upstream = state.upstream_table.find("e-1").incarnation

        def measure():
            now = trio.current_time()
            state.limits.observe(upstream, 10.0, now)
            state.usage_tracker.set_peer("peer-0", {"e-1": Usage(2, 0)}, now)
            share = state.limits.measure_share(upstream, now)
            registered = node.daemon.registry.node_count
            return share, state.usage_tracker.measure("e-1").requests, registered

        before = measure()
        for key in keys[left:]:
            site.store.remove(key)
        with trio.fail_after(5.0):
            while len(node.daemon.registry.node_addresses) > 1 + left:
                await trio.sleep(0.02)
        await trio.sleep(MAINTENANCE_PERIOD + 0.2)
        assert measure() == before
