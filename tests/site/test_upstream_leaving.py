"""Tests of upstreams that announce in their answers that they leave."""

import contextlib

import pytest
import trio

from tests.site.site import open_site
from tests.site.test_cut_node import ask_regularly, open_cut_site
from tests.site.test_upstream_limit import send_regularly
from tests.site.test_upstream_rest import KINDS, make_upstreams
from tests.site.upstream import Behavior
from tests.soak.proxy import Cut

DRAIN = 2.0  # seconds, "drain-ms"


@pytest.mark.parametrize("reject", [None, 503])
@pytest.mark.parametrize("target", KINDS)
async def test_upstream_that_announces_its_end_gets_nothing_new(target, reject):
    # The store hadn't told of it yet, and requests went there.
    async with open_site() as site:
        leaving, other = make_upstreams(target, "u-1", "u-2")
        leaving.leaving, leaving.behavior = b"1", Behavior(reject=reject)
        await site.add(leaving, other)
        node = await site.add_node()
        answers = []
        await send_regularly(node, target, 20.0, DRAIN + 2.0, answers)
    first = leaving.arrivals[0].begun
    assert not [each for each in leaving.arrivals if each.begun > first + DRAIN]
    # A call that may go to one upstream only is refused where that one rejects it.
    refused = [answer for answer in answers if answer.status != 200]
    assert len(refused) <= (reject is not None and target == "/record/1")


async def test_stream_of_an_upstream_that_announces_its_end_is_whole():
    async with open_site() as site:
        (leaving,) = make_upstreams("/draft", "u-1")
        leaving.leaving, leaving.events, leaving.gap = b"1", 100, 0.02
        await site.add(leaving)
        node = await site.add_node()
        answer = await node.ask("/draft/1")
        assert answer.whole and len(answer.event_ids) == 100
        refused = await node.ask("/draft/1")
        assert refused.status == 503 and refused.headers[b"retry-after"]


@pytest.mark.parametrize("value", [b"0", b"no", b"", b"1, 1"])
async def test_other_values_announce_nothing(value):
    async with open_site() as site:
        (upstream,) = make_upstreams("/look", "u-1")
        upstream.leaving = value
        await site.add(upstream)
        node = await site.add_node()
        for _ in range(2):
            assert (await node.ask("/look/1")).status == 200


async def test_next_start_of_an_upstream_that_announced_its_end_is_used():
    async with open_site() as site:
        (upstream,) = make_upstreams("/look", "u-1")
        upstream.leaving = b"1"
        await site.add(upstream)
        node = await site.add_node()
        await node.ask("/look/1")
        assert (await node.ask("/look/1")).status == 503
        upstream.leaving = None
        site.store.put("servers/u-1", upstream.describe(born=2))
        with trio.fail_after(2.0):
            while (await node.ask("/look/1")).status != 200:
                await trio.sleep(0.05)


async def test_announced_end_is_known_to_all_nodes():
    # Each node had to meet the announcement in an answer of its own.
    async with open_site() as site:
        leaving, other = make_upstreams("/look", "u-1", "u-2")
        await site.add(leaving, other)
        first = await site.add_node()
        second = await site.add_node(seeds=(first.control,))
        await trio.sleep(1.5)
        leaving.leaving = b"1"
        while not leaving.announced_ends:
            await first.ask("/look/1")
        await trio.sleep(DRAIN / 2.0)
        arrivals = len(leaving.arrivals)
        for _ in range(20):
            assert (await second.ask("/look/1")).status == 200
        assert len(leaving.arrivals) == arrivals


@pytest.mark.parametrize("target", ["/look/1", "/draft/1"])
async def test_end_announced_by_way_of_another_node_is_noted(target):
    # A node that was cut off passed the answer on, and sent the upstream requests
    # seconds after it had, once its links were back.
    async with contextlib.AsyncExitStack() as stack:
        site, node, _ = await open_cut_site(stack)
        node.cut(Cut.RESET)
        await ask_regularly(node, target, 2.0)
        site.store.refuse = True  # which would tell of the end as well
        service = "engines" if target == "/draft/1" else "plain"
        # Nodes leave out one that was slower than its equals.
        used = [
            each for each in site.upstreams if each.service == service and each.arrivals
        ]
        leaving = max(used, key=lambda each: each.arrivals[-1].begun)
        leaving.leaving = b"1"
        with trio.fail_after(5.0):
            while not leaving.announced_ends:
                await node.ask(target)
        announced = trio.current_time()
        node.restore()
        await ask_regularly(node, target, DRAIN + 3.0)
        late = [each for each in leaving.arrivals if each.begun > announced + DRAIN]
        assert not late


@pytest.mark.parametrize("told", ["u-1@0", "u-1", "other@1", "@", ""])
async def test_end_of_another_start_concerns_no_upstream(told):
    async with open_site() as site:
        (upstream,) = make_upstreams("/look", "u-1")
        await site.add(upstream)
        node = await site.add_node()
        node.daemon.state.merge_announced_ends([told])
        assert (await node.ask("/look/1")).status == 200


async def test_told_end_counts_for_the_latest_start_though_an_earlier_one_is_listed():
    async with open_site() as site:
        (upstream,) = make_upstreams("/look", "u-1")
        upstream.born = 2
        await site.add(upstream)
        node = await site.add_node()
        assert (await node.ask("/look/1")).status == 200
        site.store.put("servers/u-1", upstream.describe(born=1))
        table = node.daemon.state.upstream_table
        with trio.fail_after(2.0):
            while table.find("u-1").born != 1:
                await trio.sleep(0.05)
        node.daemon.state.merge_announced_ends(["u-1@1"])
        assert not table.is_leaving("u-1")
        node.daemon.state.merge_announced_ends(["u-1@2"])
        assert (await node.ask("/look/1")).status == 503


@pytest.mark.parametrize("target", KINDS)
async def test_announced_end_holds_after_the_entry_was_away(target):
    async with open_site() as site:
        leaving, other = make_upstreams(target, "u-1", "u-2")
        leaving.leaving = b"1"
        await site.add(leaving, other)
        node = await site.add_node()
        with trio.fail_after(5.0):
            while not leaving.announced_ends:
                await node.ask(target)
        table = node.daemon.state.upstream_table
        site.store.remove("servers/u-1")
        with trio.fail_after(5.0):
            while table.find("u-1") is not None:
                await trio.sleep(0.05)
        site.store.put("servers/u-1", leaving.describe())
        with trio.fail_after(5.0):
            while table.find("u-1") is None:
                await trio.sleep(0.05)
        arrivals = len(leaving.arrivals)
        for _ in range(10):
            assert (await node.ask(target)).status == 200
        assert len(leaving.arrivals) == arrivals
