import random

import pytest

from tarragonrudder.core.forwarding.path import (
    PathFinder,
    ResourceDemand,
    measure_capacity,
)
from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.selection.slowness import SlownessTracker
from tests.forwarding.fleet import PROFILE, make_engine

DEMAND = ResourceDemand(760, 216, "a")


def make_finder(usage_tracker=None):
    return PathFinder(
        "engines",
        PROFILE,
        usage_tracker or UsageTracker(),
        SlownessTracker(),
        UpstreamLimits("node-1", random.Random(3)),
        random.Random(3),
    )


def list_layers(path):
    return [(h.upstream, h.layers.first, h.layers.last) for h in path.hops]


WHOLE = [make_engine("a1", 0, 29), make_engine("a2", 30, 59), make_engine("a3", 50, 79)]


def test_each_layer_once_in_order():
    path = make_finder().find(WHOLE, DEMAND)
    assert list_layers(path) == [("a1", 0, 29), ("a2", 30, 59), ("a3", 60, 79)]


@pytest.mark.parametrize(
    "engines",
    [
        [],
        WHOLE[:2],
        WHOLE[1:],
        [make_engine("none", None, None)],
        [make_engine("other", 0, 79, kind="unknown")],
    ],
)
def test_no_path_with_a_layer_missing(engines):
    assert make_finder().find(engines, DEMAND) is None


def test_stays_in_one_data_center():
    # Load pattern: a low load; links between data centres stay free.
    engines = [
        make_engine("f1", 0, 39, "b"),
        make_engine("f2", 40, 79, "c"),
        *(
            make_engine(f"s{n}", 6 * n, min(79, 6 * n + 5), "a", "small")
            for n in range(14)
        ),
    ]
    path = make_finder().find(engines, DEMAND)
    assert {hop.upstream[0] for hop in path.hops} == {"s"}


def test_leaves_a_full_stage():
    # Load pattern: a burst fills one data centre's path; the rest still has room.
    engines = [
        make_engine("near", 0, 29, "a"),
        make_engine("rest", 30, 79, "a"),
        make_engine("far", 0, 29, "b"),
    ]
    usage_tracker = UsageTracker()
    capacity = measure_capacity(PROFILE, PROFILE.kinds["fast"], 30)
    usage_tracker.start(("near",), int(1.1 * capacity))
    path = make_finder(usage_tracker).find(engines, DEMAND)
    assert path.hops[0].upstream == "far"


def test_tells_when_all_are_full():
    usage_tracker = UsageTracker()
    usage_tracker.start(("a2",), 10**6)
    path = make_finder(usage_tracker).find(WHOLE, DEMAND)
    assert path is not None and not path.has_capacity


def test_begins_with_a_given_stage():
    engines = [*WHOLE, make_engine("b1", 0, 29, "b")]
    demand = ResourceDemand(760, 216, "a", first_upstream="b1")
    assert make_finder().find(engines, demand).hops[0].upstream == "b1"


@pytest.mark.parametrize("seed", range(10))
def test_random_holdings_give_whole_paths(seed):
    source = random.Random(seed)
    engines = []
    for number in range(40):
        first = source.randrange(0, 75)
        last = min(79, first + source.randrange(3, 30))
        engines.append(make_engine(f"e{number}", first, last, source.choice("abc")))
    path = make_finder().find(engines, DEMAND)
    if path is None:
        held = {n for e in engines for n in range(e.layers.first, e.layers.last + 1)}
        assert len(held) < 80
        return
    expected = 0
    for hop in path.hops:
        assert hop.layers.first == expected
        expected = hop.layers.last + 1
    assert expected == 80
    assert len(set(path.names)) == len(path.names)
