from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.placement.layer_assignment import (
    EmptyEngine,
    PlacedEngine,
    assign_layers,
    count_fitting_layers,
    find_moves,
)
from tests.forwarding.fleet import PROFILE

FLEET = {
    "a": ("fast", "small", "small", "small", "small", "small", "small", "small")
    + ("small", "small", "small", "slow", "slow", "slow", "slow"),
    "b": ("fast", "fast", "small", "small", "small", "small")
    + ("slow", "slow", "slow", "slow"),
    "c": ("fast", "small", "small", "small", "small", "small", "small")
    + ("slow", "slow", "slow", "slow", "slow", "slow"),
}


def make_empty_engines():
    empty_engines = []
    for data_center, kinds in FLEET.items():
        for number, kind in enumerate(kinds):
            empty_engines.append(
                EmptyEngine(f"{data_center}{number}", data_center, kind)
            )
    return empty_engines


def place_all():
    empty_engines = make_empty_engines()
    chosen = assign_layers(PROFILE, [], empty_engines)
    placed_engines = []
    for each in empty_engines:
        layers = chosen[each.name]
        placed_engines.append(
            PlacedEngine(each.name, each.data_center, each.kind, layers, movable=True)
        )
    return placed_engines


def count(placed_engines, data_center):
    counts = [0] * PROFILE.layer_count
    for placed in placed_engines:
        if placed.data_center == data_center:
            for layer in range(placed.layers.first, placed.layers.last + 1):
                counts[layer] += 1
    return counts


@pytest.mark.parametrize("kind", sorted(PROFILE.kinds))
def test_layers_fit_beside_requests(kind):
    layers = count_fitting_layers(PROFILE, kind)
    memory = PROFILE.kinds[kind].memory
    assert 0 < layers * PROFILE.layer_bytes < memory


def test_unknown_kind_holds_nothing():
    assert count_fitting_layers(PROFILE, "other") == 0


@pytest.mark.parametrize("data_center", sorted(FLEET))
def test_first_placement_gives_each_data_center_a_whole_path(data_center):
    assert min(count(place_all(), data_center)) >= 1


@pytest.mark.parametrize("data_center", sorted(FLEET))
def test_fast_kinds_are_not_spares(data_center):
    # Load pattern: under the usual load, requests should hold memory only briefly.
    placed_engines = [h for h in place_all() if h.data_center == data_center]
    fast = [h for h in placed_engines if h.kind == "fast"]
    covered = [layer for h in fast for layer in range(h.layers.first, h.layers.last)]
    assert len(covered) == len(set(covered))


@pytest.mark.parametrize("lost", [h.name for h in place_all()])
def test_restarted_engine_covers_its_layers(lost):
    placed_engines = [h for h in place_all() if h.name != lost]
    gone = next(h for h in place_all() if h.name == lost)
    chosen = assign_layers(
        PROFILE, placed_engines, [EmptyEngine(lost, gone.data_center, gone.kind)]
    )
    placed_engines.append(PlacedEngine(lost, gone.data_center, gone.kind, chosen[lost]))
    assert min(count(placed_engines, gone.data_center)) >= 1


@pytest.mark.parametrize("lost", [h.name for h in place_all()])
def test_moves_cover_the_layers_of_a_lost_engine(lost):
    gone = next(h for h in place_all() if h.name == lost)
    placed_engines = [h for h in place_all() if h.name != lost]
    moves = find_moves(PROFILE, placed_engines)
    before = count(placed_engines, gone.data_center)
    moved = []
    for placed in placed_engines:
        layers = moves.get(placed.name, placed.layers)
        moved.append(PlacedEngine(placed.name, placed.data_center, placed.kind, layers))
    after = count(moved, gone.data_center)
    assert after.count(0) <= before.count(0)
    if sum(before) >= PROFILE.layer_count and gone.kind != "fast":
        assert min(after) >= 1


def test_nothing_moves_if_all_layers_are_covered():
    assert find_moves(PROFILE, place_all()) == {}


def test_only_movable_engines_move():
    placed_engines = []
    for placed in place_all()[1:]:
        name, data_center, kind = placed.name, placed.data_center, placed.kind
        placed_engines.append(PlacedEngine(name, data_center, kind, placed.layers))
    assert find_moves(PROFILE, placed_engines) == {}


GAPS = {
    # Kind and layers of each engine, by data centre; which hold 27, 5 and 8 layers.
    "no data centre holds a path": {
        "a": [("fast", 0, 26), ("fast", 0, 26)],
        "b": [("fast", 53, 79)],
        "c": [("fast", 53, 79)],
    },
    "no layer of an engine has a copy in its data centre": {
        "a": [("fast", 0, 26)],
        "b": [("fast", 53, 79)],
        "c": [("fast", 0, 26)],
        "d": [("fast", 53, 79)],
    },
    "no engine's layers all have a copy": {
        "a": [("fast", 0, 26), ("fast", 20, 46), ("fast", 40, 66)],
    },
    "gaps on both sides of what is held": {
        "a": [("fast", 10, 36), ("slow", 30, 38)],
        "b": [("fast", 37, 63), ("fast", 37, 63), ("small", 37, 42)],
    },
    "a gap that several must fill": {
        "a": [("fast", 0, 26), ("fast", 53, 79)],
        "b": [("slow", 0, 7)] * 4,
    },
}


def make_gap(case):
    placed_engines = []
    for center, engines in GAPS[case].items():
        for kind, first, last in engines:
            name = f"{center}{len(placed_engines)}"
            layers = LayerRange(first, last)
            placed_engines.append(PlacedEngine(name, center, kind, layers, True))
    return placed_engines


def apply_moves(placed_engines, moves):
    moved = []
    for placed in placed_engines:
        layers = moves.get(placed.name, placed.layers)
        moved.append(replace(placed, layers=layers))
    return moved


def count_fleet(placed_engines):
    counts = [0] * PROFILE.layer_count
    for placed in placed_engines:
        for layer in range(placed.layers.first, placed.layers.last + 1):
            counts[layer] += 1
    return counts


@pytest.mark.parametrize("case", GAPS)
def test_layers_that_no_engine_holds_are_loaded_by_others(case):
    # Layers that no engine in any data centre held were never loaded again.
    placed_engines = make_gap(case)
    assert 0 in count_fleet(placed_engines)
    moved = apply_moves(placed_engines, find_moves(PROFILE, placed_engines))
    assert min(count_fleet(moved)) >= 1
    assert find_moves(PROFILE, moved) == {}


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from(sorted(PROFILE.kinds)),
            st.integers(0, 79),
            st.booleans(),
        ),
        min_size=1,
        max_size=20,
    )
)
def test_any_fleet_that_can_hold_the_model_comes_to_hold_it(engines):
    placed_engines = []
    for number, (center, kind, first, movable) in enumerate(engines):
        size = count_fitting_layers(PROFILE, kind)
        first = min(first, PROFILE.layer_count - size)
        layers = LayerRange(first, first + size - 1)
        placed_engines.append(PlacedEngine(f"e{number}", center, kind, layers, movable))
    moves = find_moves(PROFILE, placed_engines)
    assert all(placed.movable for placed in placed_engines if placed.name in moves)
    moved = apply_moves(placed_engines, moves)
    after = count_fleet(moved)
    assert after.count(0) <= count_fleet(placed_engines).count(0)
    capacity = sum(len(placed.layers) for placed in placed_engines if placed.movable)
    fixed = count_fleet([each for each in placed_engines if not each.movable])
    if capacity >= PROFILE.layer_count + fixed.count(0):
        assert min(after) >= 1


KIND_NAMES = st.sampled_from(sorted(PROFILE.kinds))


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), KIND_NAMES, st.integers(0, 79)),
        min_size=3,
        max_size=16,
    ),
    st.lists(st.tuples(st.sampled_from("abc"), KIND_NAMES), min_size=1, max_size=3),
)
def test_empty_engines_hold_what_nobody_else_does(engines, empty):
    # They were given what their data centre lacked, while no request could be served.
    placed_engines = []
    for number, (center, kind, first) in enumerate(engines):
        size = count_fitting_layers(PROFILE, kind)
        first = min(first, PROFILE.layer_count - size)
        layers = LayerRange(first, first + size - 1)
        placed_engines.append(PlacedEngine(f"e{number}", center, kind, layers, True))
    empty_engines = []
    for number, (center, kind) in enumerate(empty):
        empty_engines.append(EmptyEngine(f"x{number}", center, kind))
    counts = count_fleet(placed_engines)
    missing = [layer for layer in range(80) if counts[layer] == 0]
    chosen = assign_layers(PROFILE, placed_engines, empty_engines)
    for each in empty_engines:
        placed_engines.append(
            PlacedEngine(each.name, each.data_center, each.kind, chosen[each.name])
        )
    smallest = min(count_fitting_layers(PROFILE, kind) for _, kind in empty)
    if missing and missing[-1] - missing[0] < smallest * len(empty):
        assert min(count_fleet(placed_engines)) >= 1


def test_small_data_center_is_left_alone():
    placed_engines = [PlacedEngine("x", "a", "slow", LayerRange(0, 8), movable=True)]
    assert find_moves(PROFILE, placed_engines) == {}
