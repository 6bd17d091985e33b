import pytest

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.placement.layer_assignment import (
    Holding,
    Vacancy,
    count_layers,
    fill_vacancies,
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


def make_vacancies():
    vacancies = []
    for place, kinds in FLEET.items():
        for number, kind in enumerate(kinds):
            vacancies.append(Vacancy(f"{place}{number}", place, kind))
    return vacancies


def place_all():
    vacancies = make_vacancies()
    chosen = fill_vacancies(PROFILE, [], vacancies)
    holdings = []
    for each in vacancies:
        layers = chosen[each.name]
        holdings.append(
            Holding(each.name, each.data_center, each.kind, layers, movable=True)
        )
    return holdings


def count(holdings, place):
    counts = [0] * PROFILE.layer_count
    for holding in holdings:
        if holding.data_center == place:
            for layer in range(holding.layers.first, holding.layers.last + 1):
                counts[layer] += 1
    return counts


@pytest.mark.parametrize("kind", sorted(PROFILE.kinds))
def test_layers_fit_beside_requests(kind):
    layers = count_layers(PROFILE, kind)
    memory = PROFILE.kinds[kind].memory
    assert 0 < layers * PROFILE.layer_bytes < memory


def test_unknown_kind_holds_nothing():
    assert count_layers(PROFILE, "other") == 0


@pytest.mark.parametrize("place", sorted(FLEET))
def test_first_placement_gives_each_data_center_a_whole_path(place):
    assert min(count(place_all(), place)) >= 1


@pytest.mark.parametrize("place", sorted(FLEET))
def test_fast_kinds_are_not_spares(place):
    # Load pattern: the usual load should hold memory for as short as possible.
    holdings = [h for h in place_all() if h.data_center == place]
    fast = [h for h in holdings if h.kind == "fast"]
    covered = [layer for h in fast for layer in range(h.layers.first, h.layers.last)]
    assert len(covered) == len(set(covered))


@pytest.mark.parametrize("lost", [h.name for h in place_all()])
def test_restarted_engine_fills_its_hole(lost):
    holdings = [h for h in place_all() if h.name != lost]
    gone = next(h for h in place_all() if h.name == lost)
    chosen = fill_vacancies(
        PROFILE, holdings, [Vacancy(lost, gone.data_center, gone.kind)]
    )
    holdings.append(Holding(lost, gone.data_center, gone.kind, chosen[lost]))
    assert min(count(holdings, gone.data_center)) >= 1


@pytest.mark.parametrize("lost", [h.name for h in place_all()])
def test_moves_close_the_hole_of_a_lost_engine(lost):
    gone = next(h for h in place_all() if h.name == lost)
    holdings = [h for h in place_all() if h.name != lost]
    moves = find_moves(PROFILE, holdings)
    before = count(holdings, gone.data_center)
    moved = []
    for holding in holdings:
        layers = moves.get(holding.name, holding.layers)
        moved.append(Holding(holding.name, holding.data_center, holding.kind, layers))
    after = count(moved, gone.data_center)
    assert after.count(0) <= before.count(0)
    if sum(before) >= PROFILE.layer_count and gone.kind != "fast":
        assert min(after) >= 1


def test_nothing_moves_without_a_hole():
    assert find_moves(PROFILE, place_all()) == {}


def test_only_movable_engines_move():
    holdings = []
    for holding in place_all()[1:]:
        name, place, kind = holding.name, holding.data_center, holding.kind
        holdings.append(Holding(name, place, kind, holding.layers))
    assert find_moves(PROFILE, holdings) == {}


def test_small_data_center_is_left_alone():
    holdings = [Holding("x", "a", "slow", LayerRange(0, 8), movable=True)]
    assert find_moves(PROFILE, holdings) == {}
