"""Calls of the store made in the last moments of an outage that answers nothing."""

import pytest
import trio

from tarragonrudder.platform.loading_planner import LEASE_TTL
from tests.site.site import make_configuration, open_site
from tests.site.upstream import UpstreamStandIn

OUTAGE = 3.3  # seconds
CATCH_UP = 4.0  # seconds from an outage's end in which nodes have learned all changes
CONFIGURATION_BOUND = 2.0  # seconds, once the store has been calm for `CALM`
CALM = 3.0  # seconds
MAX_WAIT = 8.0  # seconds until a node has made a call of each kind


@pytest.mark.parametrize("node_count", [2])
@pytest.mark.parametrize("last", ["watch", "keep", "lease", "txn", "range"])
async def test_nodes_catch_up_after_a_last_call_without_an_answer(last, node_count):
    # The outage ends just after a call was made, which then waits for its time limit.
    async with open_site() as site:
        engines = [UpstreamStandIn(f"e-{n}", layers=(0, 79)) for n in (1, 2)]
        await site.add(*engines, UpstreamStandIn("p-1", "plain", kind=""))
        first = await site.add_node()
        nodes = [first]
        for _ in range(node_count - 1):
            nodes.append(await site.add_node(seeds=(first.control,)))
        await trio.sleep(1.5)
        made = trio.Event()
        site.store.silent = True
        await trio.sleep(OUTAGE)
        if last == "range":
            site.store.forget()  # the history is lost, so that a listing is next
        site.store.on_silenced = lambda call: made.set() if call == last else None
        with trio.move_on_after(MAX_WAIT):
            await made.wait()
        site.store.silent = False
        site.store.put("op/config", make_configuration(3))
        empty = UpstreamStandIn("e-3")
        await site.add(empty)
        with trio.fail_after(CATCH_UP):
            for node in nodes:
                while node.daemon.state.version != 3:
                    await trio.sleep(0.02)
                while node.daemon.state.upstream_table.find("e-3") is None:
                    await trio.sleep(0.02)
        with trio.fail_after(2.0 * LEASE_TTL):
            while not empty.orders:
                await trio.sleep(0.02)
        await trio.sleep(CALM)
        for version in (4, 5):
            site.store.put("op/config", make_configuration(version))
            with trio.fail_after(CONFIGURATION_BOUND):
                for node in nodes:
                    while node.daemon.state.version != version:
                        await trio.sleep(0.02)
        for node in nodes:
            assert (await node.ask("/draft/1")).status == 200
