"""Leaving and failed upstreams, and how word of them spreads."""

import random

import pytest
from benchmarks.spread import simulate_spread

from tarragonrudder.core.domain.action import ProbeUpstream, SendPeerMessage
from tarragonrudder.core.domain.event import UpstreamProbed, VirtualMachine, VmsListed
from tarragonrudder.core.domain.message import Facts, UpstreamLeaving
from tarragonrudder.core.membership.gossip import BURST_BYTES, BYTES_PER_SECOND, Gossip
from tarragonrudder.core.membership.membership import LEAVING_PERIOD, Membership
from tarragonrudder.edges.peer import encode_message
from tests import invariants
from tests.standins.fleet_configuration import LAYER_COUNT, make_configuration
from tests.standins.virtual_fleet import VirtualFleet

LEAVING_TIME = 5.0  # seconds until no node gives new work


def make_membership() -> Membership:
    membership = Membership("node-0", Gossip(random.Random(1)))
    membership.configure(make_configuration(1).engines)
    return membership


def list_vms(*leaving: str) -> VmsListed:
    return VmsListed(tuple(VirtualMachine(name, "", "", True) for name in leaving))


def test_failed_upstream_is_probed_before_it_gets_work() -> None:
    membership = make_membership()
    membership.mark_failed("engine-0-0", 10.0)
    assert membership.tick(10.5) == []
    (probe,) = membership.tick(11.0)
    assert isinstance(probe, ProbeUpstream)
    membership.handle_probe(UpstreamProbed("engine-0-0", False), 11.5)
    assert "engine-0-0" in membership.list_unusable(12.0)
    assert membership.tick(12.0) == []
    assert len(membership.tick(14.0)) == 1
    membership.handle_probe(UpstreamProbed("engine-0-0", True), 14.1)
    assert membership.list_unusable(14.1) == frozenset()


@pytest.mark.parametrize(
    ("age", "at", "leaving"),
    [
        (0.0, 10.0 + LEAVING_PERIOD - 0.1, True),
        (0.0, 10.0 + LEAVING_PERIOD, False),
        (30.0, 10.0 + LEAVING_PERIOD - 30.0, False),
        (LEAVING_PERIOD, 10.0, False),
    ],
)
def test_word_of_leaving_ends(age: float, at: float, leaving: bool) -> None:
    membership = make_membership()
    membership.mark_leaving("engine-0-0", 10.0, age)
    assert ("engine-0-0" in membership.list_leaving(at)) == leaving


def test_own_word_outlives_a_stale_list_and_the_list_outlives_it() -> None:
    membership = make_membership()
    membership.mark_leaving("engine-0-0", 10.0)
    membership.handle_vms(list_vms(), 11.0)
    assert "engine-0-0" in membership.list_unusable(11.0)
    membership.handle_vms(list_vms("engine-0-0"), 30.0)
    assert "engine-0-0" in membership.list_unusable(200.0)
    membership.handle_vms(list_vms(), 200.0)
    assert "engine-0-0" not in membership.list_unusable(200.0)


def test_relayed_word_is_not_passed_on_twice() -> None:
    membership = make_membership()
    assert membership.mark_leaving("engine-0-0", 10.0) != []
    assert membership.mark_leaving("engine-0-0", 12.0, age=2.0) == []
    assert membership.mark_leaving("engine-0-0", 12.0, age=1.9) == []


def play_leaving(seed: int, node_count: int, loss: float, shown_by: str) -> list[str]:
    fleet = VirtualFleet(make_configuration(3), node_count, seed)
    fleet.peer_loss = loss
    for index in range(2 * node_count):
        fleet.ask(f"node-{index % node_count}", f"question {index}", 200)
    fleet.run(0.5)
    upstream = fleet.engines.running[0][1]
    if shown_by == "list":
        fleet.list_vms(upstream, nodes=["node-0"])
    else:
        fleet.engines.engines[upstream].leaving = True
    left = {upstream: fleet.now}
    for index in range(60):
        fleet.run(0.25)
        fleet.ask(f"node-{index % node_count}", f"later {index}", 5)
    fleet.run(30)
    findings = invariants.check_all(fleet.journal, fleet.receipts, "1", LAYER_COUNT)
    findings += invariants.check_leaving_upstreams(fleet.journal, left, LEAVING_TIME)
    for receipt in fleet.receipts:
        if not isinstance(receipt.ending, invariants.Completed):
            findings.append(f"{receipt.request} ended with {receipt.ending}")
    return findings


@pytest.mark.parametrize("shown_by", ["list", "refusal"])
@pytest.mark.parametrize(("nodes", "loss"), [(7, 0.0), (7, 0.5), (30, 0.2)])
def test_leaving_upstream_gets_no_new_work(
    nodes: int, loss: float, shown_by: str
) -> None:
    assert play_leaving(1, nodes, loss, shown_by) == []


def test_missing_word_of_leaving_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gossip, "spread", lambda *args: [])
    assert play_leaving(1, 7, 0.0, "list") != []


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("seed", range(3))
def test_fact_reaches_400_nodes(loss: float, seed: int) -> None:
    result = simulate_spread(400, loss, seed)
    assert result.informed == 400
    assert result.seconds < 2.0


def test_bytes_are_bounded() -> None:
    gossip = Gossip(random.Random(1))
    gossip.set_peers(tuple(f"node-{index}" for index in range(399)))
    sent = 0
    for step in range(3000):
        now = step * 0.2
        for index in range(20):
            name = f"engine-{step}-{index}"
            gossip.spread(name, UpstreamLeaving(name, 0.0), now)
        for action in gossip.handle_timer(now):
            if isinstance(action, SendPeerMessage):
                assert isinstance(action.message, Facts)
                sent += (
                    len(encode_message("node-1", "node-2", action.message, now)) + 300
                )
    assert sent <= BURST_BYTES + BYTES_PER_SECOND * 600
