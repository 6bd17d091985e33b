"""Unexpected errors of tasks beside the requests end neither the node nor the task."""

import pytest
import trio

from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.forwarding.upstream_table import UpstreamTable
from tarragonrudder.core.placement.loading import LoadingScheduler
from tarragonrudder.edges import background
from tarragonrudder.platform.loading_planner import LoadingPlanner
from tarragonrudder.platform.metadata_store import MetadataStore
from tarragonrudder.platform.peer_gossip import PeerGossip
from tarragonrudder.platform.registry import Registry
from tests.site.site import make_configuration, open_site
from tests.site.upstream import UpstreamStandIn

# What raises, and the task that ends by it; None if it goes on without what raised.
FAULTS = {
    "plan": (LoadingScheduler, "plan", None),
    "order": (LoadingPlanner, "_send_order", "_send_order"),
    "election": (LoadingPlanner, "_acquire_or_renew", "_run_election"),
    "registration": (MetadataStore, "grant_lease", "_maintain_registration"),
    "changes": (Registry, "_apply_changes", "_run_watch"),
    "entry": (UpstreamTable, "register", None),
    "configuration": (ForwardingState, "adopt", None),
    "expiry": (UpstreamTable, "expire", "_run_maintenance"),
    "exchange": (PeerGossip, "_call", "_exchange"),
}


@pytest.mark.parametrize("case", FAULTS)
async def test_error_of_a_background_task_ends_neither_node_nor_task(
    case, monkeypatch, task_failures
):
    # One such error ended the process, with all requests that it had accepted.
    monkeypatch.setattr(background, "RESTART_PERIOD", 0.1)
    owner, name, task = FAULTS[case]
    sound = getattr(owner, name)
    calls = []

    def raise_twice(self, *args, **options):
        calls.append(args)
        if len(calls) <= 2:
            raise RuntimeError("unexpected")
        return sound(self, *args, **options)

    raise_twice.__name__ = name
    async with open_site() as site:
        engines = [UpstreamStandIn(f"engine-{n}") for n in range(6)]
        await site.add(*engines, UpstreamStandIn("plain", "plain", kind=""))
        monkeypatch.setattr(owner, name, raise_twice)
        other = await site.add_node(ready=False)
        node = await site.add_node((other.control,), ready=False)
        with trio.fail_after(20.0):
            while len(calls) < 2:
                await trio.sleep(0.05)
            site.store.put("op/config", make_configuration(3))
            await site.add(UpstreamStandIn("later", "plain", kind=""))
            while node.daemon.state.upstream_table.find("later") is None:
                await trio.sleep(0.05)
            while node.daemon.state.version != 3 or not node.daemon.is_ready:
                await trio.sleep(0.05)
            while not any(engine.orders for engine in engines):
                await trio.sleep(0.05)
            answer = await node.ask("/look/1")
        assert (answer.status, answer.whole) == (200, True)
    if task is not None:
        assert set(task_failures) == {task}
    task_failures.clear()
