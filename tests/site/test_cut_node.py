"""Tests of nodes that reach no upstream, on whole sites."""

import contextlib

import pytest
import trio

from tests.site.site import open_site
from tests.site.upstream import UpstreamStandIn
from tests.soak.proxy import Cut

SETTLE_TIME = 3.0  # seconds from a cut until the callers are served as elsewhere
PERIOD = 0.1  # seconds between two requests


async def open_cut_site(stack):
    """Add six upstreams, two whole nodes and one whose links can be cut."""
    site = await stack.enter_async_context(open_site())
    for number in range(3):
        await site.add(
            UpstreamStandIn(f"e-{number}", layers=(0, 79)),
            UpstreamStandIn(f"p-{number}", service="plain"),
        )
    first = await site.add_node()
    second = await site.add_node(seeds=(first.control,))
    node = await site.add_node(seeds=(first.control, second.control), linked=True)
    await trio.sleep(1.5)  # a few rounds of gossip
    return site, node, [first, second]


async def ask_regularly(node, target, length, period=PERIOD, **options):
    """Send requests for some seconds; return the answers."""
    answers = []
    async with trio.open_nursery() as nursery:

        async def ask():
            answers.append(await node.ask(target, deadline=2.0, **options))

        for _ in range(int(length / period)):
            nursery.start_soon(ask)
            await trio.sleep(period)
    return answers


@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("target", ["/draft/1", "/look/1", "/record/1"])
async def test_callers_of_a_node_that_reaches_no_upstream_are_served(target, how):
    # They were refused for as long as the cut lasted.
    async with contextlib.AsyncExitStack() as stack:
        _, node, _ = await open_cut_site(stack)
        assert (await node.ask(target)).status == 200
        node.cut(how)
        await ask_regularly(node, target, SETTLE_TIME)
        answers = await ask_regularly(node, target, 3.0)
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    assert served >= 0.95 * len(answers)
