"""How beginnings of many nodes spread over engines and data centres."""

import random

import pytest

from tests.forwarding.fleet import make_engine
from tests.forwarding.test_path import DEMAND, make_finder
from tests.forwarding.virtual_fleet import make_chains, play_streams

FLEETS = [(34, 125.0), (72, 150.0)]  # nodes, streams a second
SETTLED = 4.0  # seconds until the first streams have ended


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("nodes", "rate"), FLEETS)
def test_added_engines_do_not_get_all_beginnings(nodes, rate, seed):
    # Load pattern: two engines return empty beside eight that are in use.
    spread = play_streams(
        nodes,
        rate,
        make_chains(8),
        seconds=12.0,
        seed=seed,
        added=make_chains(2, prefix="x"),
        added_at=6.0,
    )
    assert spread.burst < 0.5 * rate * 0.5  # half of those of half a second
    assert max(imbalance for _, imbalance in spread.imbalance) < 2.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("nodes", "rate"), FLEETS)
def test_no_crossing_while_each_data_center_has_room(nodes, rate, seed):
    engines = [engine for name in "abc" for engine in make_chains(4, name)]
    spread = play_streams(nodes, rate, engines, 8.0, seed, data_centers="abc")
    assert spread.paths > 0.8 * 8.0 * rate
    assert spread.crossings == 0
    share = max(spread.starts.values()) * 12 / spread.paths
    assert share < 2.0


@pytest.mark.parametrize("seed", range(20))
def test_crosses_only_without_a_whole_path_with_room(seed):
    source = random.Random(seed)
    finder = make_finder()
    engines = []
    for number in range(60):
        kind, width = source.choice((("fast", 27), ("small", 6), ("slow", 9)))
        first = source.randrange(0, 80 // width) * width
        last = 79 if first + 2 * width > 80 else first + width - 1
        name = f"e{number}"
        engines.append(make_engine(name, first, last, source.choice("abc"), kind))
        used = source.choice((0.0, 0.3, 0.6, 0.9, 1.1))
        finder._usage_tracker.start((name,), int(used * 50_000))
        for _ in range(int(40 * used)):
            finder._usage_tracker.start((name,), 0)
    whole = [
        finder.find([e for e in engines if e.data_center == name], DEMAND)
        for name in "abc"
    ]
    path = finder.find(engines, DEMAND)
    if path is not None and any(each and each.has_capacity for each in whole):
        assert path.links == ()


@pytest.mark.parametrize("spared", [0, 7])
def test_full_and_limited_engines_are_not_drawn(spared):
    finder = make_finder()
    engines = [make_engine(f"e{number}", 0, 26) for number in range(9)]
    engines += [make_engine("m", 27, 53), make_engine("z", 54, 79)]
    for number in range(spared):
        finder._limits.observe(engines[number].incarnation, 5.0, 0.0)
    for number in range(spared, 8):
        finder._usage_tracker.start((f"e{number}",), 10**6)
    for _ in range(50):
        assert finder.find(engines, DEMAND).names[0] == "e8"
