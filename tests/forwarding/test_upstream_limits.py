"""Limits that upstreams name, as a fleet of nodes shares them."""

import math
import random

import pytest

from tarragonrudder.core.domain.backpressure import Backpressure
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.forwarding.state import Wait
from tarragonrudder.core.forwarding.upstream_gate import UpstreamGate
from tarragonrudder.core.forwarding.upstream_limits import (
    MAX_LIMIT,
    MAX_VANISHED,
    RELEASE_PERIOD,
    RENEWAL_PERIOD,
    LimitReport,
    UpstreamLimits,
)
from tarragonrudder.core.forwarding.upstream_table import UpstreamTable
from tarragonrudder.errors import Overloaded
from tests.forwarding.fleet import (
    make_engine,
    make_plain,
    make_request,
    make_route,
    make_state,
)

WINDOW = 4.0  # seconds, in which requests are counted
LEARN_TIME = 3.0  # seconds from the first answer with a limit until it must hold
STEP = 0.05  # seconds
ROUND_STEPS = 10  # between two rounds of gossip
FANOUT = 2


class LimitedFleet:
    """Nodes that send one upstream what they may, and tell each other."""

    def __init__(self, count, seed=1):
        self.random = random.Random(seed)
        self.names = [f"node-{number}" for number in range(count)]
        self.nodes = {name: self._make(name) for name in self.names}
        self.cut = set()
        self.sent = []

    def _make(self, name):
        limits = UpstreamLimits(name, random.Random(self.random.random()))
        limits.set_nodes(self.names)
        return limits

    def restart(self, name):
        self.nodes[name] = self._make(name)

    def run(self, start, length, limit, demand):
        """Run for some seconds; `demand` gives a node's requests a second."""
        for step in range(int(length / STEP)):
            now = start + step * STEP
            for name, node in self.nodes.items():
                wanted = demand(name, now) * STEP
                for _ in range(int(wanted) + (self.random.random() < wanted % 1.0)):
                    if node.has_room("u", now):
                        node.take("u", now)
                        self.sent.append(now)
                        node.observe("u", limit(now), now)
            if step % ROUND_STEPS == 0:
                self._gossip(now)

    def _gossip(self, now):
        linked = [name for name in self.names if name not in self.cut]
        for name in linked:
            for peer in self.random.sample(linked, min(FANOUT, len(linked))):
                for one, other in ((name, peer), (peer, name)):
                    if one != other:
                        reports = self.nodes[one].snapshot(now)
                        self.nodes[other].merge(one, reports, now)

    def count_most(self, since):
        """Return the largest number of requests in any `WINDOW`, from `since` on."""
        times = [at for at in self.sent if at >= since]
        most = first = 0
        for last, at in enumerate(times):
            while at - times[first] >= WINDOW:
                first += 1
            most = max(most, last + 1 - first)
        return most


def count_allowed(limit):
    return 1.5 * limit * WINDOW + 5


@pytest.mark.parametrize("count", [1, 3, 7, 40])
@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 3.0, 8.8, 50.0])
@pytest.mark.parametrize("spread", ["all alike", "one has most", "in turn"])
def test_fleet_keeps_to_a_limit(count, limit, spread):
    # Load pattern: callers ask each node for more than the upstream takes in all.
    def ask(name, now):
        number = int(name.removeprefix("node-"))
        if spread == "all alike":
            return 5.0 + limit
        if spread == "one has most":
            return 5.0 + 2.0 * limit if number == 0 else 0.2
        return 5.0 + 2.0 * limit if number == int(now) % count else 0.0

    fleet = LimitedFleet(count)
    fleet.run(0.0, 30.0, lambda now: limit, ask)
    assert fleet.count_most(LEARN_TIME) <= count_allowed(limit)
    if limit >= 1.0 and spread == "all alike":
        used = sum(at >= 10.0 for at in fleet.sent) / 20.0
        assert used >= 0.6 * limit


def test_fleet_of_400_nodes_keeps_to_a_small_limit():
    fleet = LimitedFleet(400)
    fleet.run(0.0, 20.0, lambda now: 3.0, lambda name, now: 8.0)
    assert fleet.count_most(LEARN_TIME) <= count_allowed(3.0)
    assert sum(at >= 10.0 for at in fleet.sent) >= 0.5 * 3.0 * 10.0


@pytest.mark.parametrize("trouble", ["one is cut off", "all are cut off", "restarts"])
@pytest.mark.parametrize("limit", [1.0, 3.0, 8.8])
def test_nodes_that_hear_no_peer_keep_to_a_limit(trouble, limit):
    fleet = LimitedFleet(7)
    fleet.run(0.0, 6.0, lambda now: limit, lambda name, now: 10.0)
    if trouble == "one is cut off":
        fleet.cut = {"node-3"}
    elif trouble == "all are cut off":
        fleet.cut = set(fleet.names)
    for number in range(7):
        if trouble == "restarts":
            fleet.restart(f"node-{number}")
        fleet.run(6.0 + 2.0 * number, 2.0, lambda now: limit, lambda name, now: 10.0)
    assert fleet.count_most(LEARN_TIME) <= count_allowed(limit)


def test_lower_limit_holds_at_once():
    fleet = LimitedFleet(7)

    def name_limit(now):
        return 20.0 if now < 8.0 else 3.0

    fleet.run(0.0, 20.0, name_limit, lambda name, now: 10.0)
    assert fleet.count_most(8.0 + LEARN_TIME) <= count_allowed(3.0)


def test_share_is_taken_up_in_steps_when_a_limit_ends():
    fleet = LimitedFleet(7)

    def name_limit(now):
        return 4.0 if now < 8.0 else None

    fleet.run(0.0, 20.0, name_limit, lambda name, now: 10.0)
    ended = next(at for at in fleet.sent if at >= 8.0)
    steps = [
        sum(ended + n <= at < ended + n + 1.0 for at in fleet.sent) for n in range(8)
    ]
    assert steps[0] < 20 and steps[0] < steps[-1]
    assert steps[-1] >= 60


def test_limit_of_zero_is_tried_at_times_and_can_end():
    fleet = LimitedFleet(3)

    def name_limit(now):
        return 0.0 if now < 40.0 else None

    fleet.run(0.0, 80.0, name_limit, lambda name, now: 10.0)
    assert sum(10.0 <= at < 40.0 for at in fleet.sent) <= 4
    assert sum(at >= 70.0 for at in fleet.sent) >= 200


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        (((0.0, 3.0),), 3.0),
        (((0.0, 3.0), (1.0, 5.0)), 5.0),
        (((0.0, 3.0), (1.0, None)), None),
        (((0.0, 3.0), (1.0, None), (2.0, 4.0)), 4.0),
        (((0.0, None),), None),
        (((0.0, 2.0 * MAX_LIMIT),), None),
        (((0.0, math.inf),), None),
        (((0.0, 0.0),), 0.0),
    ],
)
def test_newest_answer_tells_the_limit(steps, expected):
    limits = UpstreamLimits("node-1", random.Random(1))
    for at, limit in steps:
        limits.observe("u", limit, at)
    assert limits.find("u") == expected


@pytest.mark.parametrize(
    ("age", "limit", "expected"),
    [
        (0.5, 9.0, 9.0),  # newer than what this node saw
        (0.5, None, None),
        (2.0, 9.0, 3.0),  # older
        (2.0, None, 3.0),
        (RENEWAL_PERIOD + 1.0, 9.0, 3.0),
    ],
)
def test_newer_of_two_observations_counts(age, limit, expected):
    limits = UpstreamLimits("node-1", random.Random(1))
    limits.observe("u", 3.0, 9.0)
    limits.merge("node-2", {"u": LimitReport(limit, age, 0.0)}, 10.0)
    assert limits.find("u") == expected


@pytest.mark.parametrize("known", [{"u"}, set()])
@pytest.mark.parametrize("now", [1.0, RENEWAL_PERIOD + 1.0])
def test_limits_end_without_answers(known, now):
    limits = UpstreamLimits("node-1", random.Random(1))
    limits.observe("u", 3.0, 0.0)
    limits.expire(known, now)
    assert "u" in limits  # taken up in steps after `RENEWAL_PERIOD`
    limits.expire(known, now + RELEASE_PERIOD + RENEWAL_PERIOD)
    limits.expire(known, now + 2.0 * (RELEASE_PERIOD + RENEWAL_PERIOD))
    assert "u" not in limits


@pytest.mark.parametrize("away", [0.1, 2.0])
def test_limit_outlasts_a_vanished_entry(away):
    # An upstream that named a limit got all that there was once its entry was back.
    gate, (upstream,) = make_gate(2.0)
    incarnation = upstream.incarnation
    gate._upstream_table.deregister(upstream.name, 1.0)
    gate.expire(1.0 + away)
    gate._upstream_table.register(upstream)
    assert gate.limits.find(incarnation) == 2.0
    sent = 0
    while gate.has_room(upstream.name, 1.0 + away) and sent < 20:
        gate.take([upstream.name], 1.0 + away)
        sent += 1
    assert sent < 4


def test_limits_of_vanished_upstreams_are_bounded():
    limits = UpstreamLimits("node-1", random.Random(1))
    limits.observe("known", 3.0, 0.0)
    for number in range(2 * MAX_VANISHED):
        limits.observe(f"u{number}", 3.0, 1.0 + 0.01 * number)
    limits.expire({"known"}, 10.0)
    assert len(limits) == MAX_VANISHED + 1
    assert "known" in limits and f"u{2 * MAX_VANISHED - 1}" in limits


def make_gate(*limits):
    table = UpstreamTable()
    gate = UpstreamGate("node-1", table, random.Random(1))
    gate.limits.set_nodes(["node-1"])
    upstreams = []
    for number, limit in enumerate(limits):
        upstream = make_plain(f"p{number}")
        table.register(upstream)
        upstreams.append(upstream)
        if limit is not None:
            gate.limits.observe(upstream.incarnation, limit, 0.0)
    return gate, upstreams


def find_wait(gate, name, upstreams):
    return gate.estimate_wait(name, upstreams, 0.0).wait


def test_requests_wait_in_the_order_in_which_they_came():
    gate, upstreams = make_gate(1.0)
    gate.take(["p0"], 0.0)
    waits = [find_wait(gate, name, upstreams) for name in ("a", "b", "c", "a")]
    assert waits[0] == waits[3]
    assert waits[1] == pytest.approx(waits[0] + 1.0 / 0.9)
    assert waits[2] == pytest.approx(waits[0] + 2.0 / 0.9)
    gate.leave("a")
    assert find_wait(gate, "b", upstreams) == waits[0]


@pytest.mark.parametrize("limit", [None, 100.0])
def test_no_wait_where_an_upstream_has_room(limit):
    gate, upstreams = make_gate(limit)
    gate.take(["p0"], 0.0)
    gate.give_back(["p0"], 0.0)
    assert gate.estimate_wait("a", upstreams, 1.0) is None


def limit_all(state, limit, now=0.0):
    state.limits.set_nodes(["node-1"])
    for upstream in list(state.upstream_table):
        state.observe_backpressure(upstream, Backpressure(limit), now)
        while state.limits.has_room(upstream.incarnation, now):
            state.limits.take(upstream.incarnation, now)


@pytest.mark.parametrize(
    ("limit", "expected"), [(1.0, Overloaded), (0.0, Overloaded), (20.0, Wait)]
)
def test_path_waits_for_a_limit_or_is_refused_at_once(limit, expected):
    state = make_state()
    state.upstream_table.register(make_engine("e1", 0, 79))
    limit_all(state, limit)
    found = state.find_path(
        make_request(), make_route(), "engines", frozenset(), frozenset(), False, 0, 0
    )
    assert isinstance(found, expected)
    if expected is Overloaded:
        assert found.retry_after > 0.5


def test_path_goes_round_a_stage_at_its_limit():
    state = make_state()
    for name, first, last in (("e1", 0, 39), ("e2", 40, 79), ("e3", 40, 79)):
        state.upstream_table.register(make_engine(name, first, last))
    state.limits.set_nodes(["node-1"])
    state.observe_backpressure(state.upstream_table.find("e2"), Backpressure(1.0), 0.0)
    state.upstream_gate.take(("e2",), 0.0)
    path = state.find_path(
        make_request(), make_route(), "engines", frozenset(), frozenset(), False, 0, 0
    )
    assert path.names == ("e1", "e3")
    assert path.hops[1].layers == LayerRange(40, 79)


def test_plain_call_goes_to_others_first():
    state = make_state()
    for name in ("p1", "p2"):
        state.upstream_table.register(make_plain(name))
    state.limits.set_nodes(["node-1"])
    state.observe_backpressure(state.upstream_table.find("p1"), Backpressure(9.0), 0.0)
    chosen = {state.choose_upstream("plain", (), 1.0).name for _ in range(20)}
    assert chosen == {"p2"}


def test_refusal_tells_when_there_will_be_room():
    state = make_state()
    state.upstream_table.register(make_plain("p1"))
    limit_all(state, 0.5)
    request = make_request(target="/record/1")
    problem = state.refuse_call(request, "plain", (), False, 0.0)
    assert "limits" in problem.message
    wait = state.limits.measure_wait(state.upstream_table.find("p1").incarnation, 0.0)
    assert problem.retry_after >= wait
