import pytest

from tarragonrudder.core.placement.loading import MOVE_DELAY, LoadingScheduler
from tests.forwarding.fleet import PROFILE, make_engine


def make_fleet(count=20, **changes):
    return [
        make_engine(f"e{n}", None, None, "a", "small", **changes) for n in range(count)
    ]


def plan(loading, engines, now, culprits=()):
    return loading.plan(PROFILE, engines, culprits, now)


def hold(engines, orders):
    layers = {order.upstream: order.layers for order in orders}
    held = []
    for engine in engines:
        found = layers.get(engine.name)
        first, last = (found.first, found.last) if found else (None, None)
        held.append(make_engine(engine.name, first, last, "a", engine.kind))
    return held


def settle(loading, engines):
    assert plan(loading, engines, 0.0) == []
    return plan(loading, engines, 1.0)


def test_first_plan_waits_until_the_fleet_has_settled():
    loading = LoadingScheduler("engines")
    assert plan(loading, make_fleet(5), 0.0) == []
    assert plan(loading, make_fleet(20), 0.5) == []
    assert plan(loading, make_fleet(20), 1.0) == []
    assert len(plan(loading, make_fleet(20), 1.3)) == 20


FEW = {
    # Layers of each engine of a kind that holds 27; seconds until there is a plan.
    "restarted engine beside others": ([(27, 53), (53, 79), None], 0.0),
    "just enough, all empty": ([None, None, None], 1.0),
    "too few for the model, all empty": ([None, None], 3.2),
    "too few for the model": ([(0, 26), None], 3.2),
    "a single one": ([None], 3.2),
}


@pytest.mark.parametrize("case", FEW)
def test_planner_that_begins_with_few_engines_plans(case):
    # It waited for a fourth engine without end, while all requests were refused.
    held, planned_at = FEW[case]
    engines = []
    for number, layers in enumerate(held):
        first, last = layers or (None, None)
        engines.append(make_engine(f"e{number}", first, last, "a", "fast"))
    loading = LoadingScheduler("engines")
    orders = []
    now = 0.0
    while not orders and now <= planned_at:
        orders = plan(loading, engines, now)
        now += 0.1
    empty = [engine.name for engine in engines if engine.layers is None]
    assert [order.upstream for order in orders] == empty
    covered = {layer for order in orders for layer in range(*order_range(order))}
    for engine in engines:
        if engine.layers is not None:
            covered.update(range(engine.layers.first, engine.layers.last + 1))
    assert len(covered) >= min(80, 27 * len(engines) - 1)


@pytest.mark.parametrize("outcome", ["refused", "unreachable"])
@pytest.mark.parametrize("absent", ["f0", "f1-x", "f2-x", "f4"])
def test_layers_of_an_engine_that_takes_no_order_are_loaded_by_others(absent, outcome):
    # An entry of nobody counted as the holder of the layers that it was ordered.
    engines = [
        make_engine(name, None, None, "a", "fast") for name in ("f1", "f2", "f3")
    ]
    engines.append(make_engine(absent, None, None, "a", "fast"))
    loading = LoadingScheduler("engines")
    now = 0.0
    while now < 8.0:
        for order in plan(loading, engines, now):
            if order.upstream == absent:
                loading.record_outcome(order, outcome, now)
                continue
            loading.record_outcome(order, "begun", now)
            names = [engine.name for engine in engines]
            first, last = order.layers.first, order.layers.last
            moved = make_engine(order.upstream, first, last, "a", "fast")
            engines[names.index(order.upstream)] = moved
        now += 0.25
    covered = set()
    for engine in engines:
        if engine.layers is not None:
            covered.update(range(engine.layers.first, engine.layers.last + 1))
    assert covered == set(range(80))


def order_range(order):
    return order.layers.first, order.layers.last + 1


def test_an_order_is_given_once_while_it_is_carried_out():
    loading = LoadingScheduler("engines")
    fleet = make_fleet()
    orders = settle(loading, fleet)
    assert plan(loading, fleet, 1.2) == []
    assert plan(loading, hold(fleet, orders), 3.0) == []


@pytest.mark.parametrize(
    ("outcome", "planned_at", "count"),
    [("lost", 2.5, 0), ("lost", 20.0, 20), ("conflict", 2.5, 20), ("begun", 2.5, 0)],
)
def test_order_that_led_to_nothing_is_given_again(outcome, planned_at, count):
    loading = LoadingScheduler("engines")
    fleet = make_fleet()
    for order in settle(loading, fleet):
        loading.record_outcome(order, outcome, 1.0)
    assert len(plan(loading, fleet, planned_at)) == count


def test_restart_under_the_same_id_is_loaded_again():
    loading = LoadingScheduler("engines")
    fleet = make_fleet()
    held = hold(fleet, settle(loading, fleet))
    held[3] = make_engine("e3", None, None, "a", "small", born=9)
    assert [order.upstream for order in plan(loading, held, 3.0)] == ["e3"]


@pytest.mark.parametrize("how", ["gone", "draining", "culprit"])
def test_a_spare_takes_over_what_is_lost(how):
    # Load pattern: an engine is lost while all traffic goes on.
    loading = LoadingScheduler("engines")
    fleet = make_fleet()
    held = hold(fleet, settle(loading, fleet))
    counts = [0] * 80
    for engine in held:
        for layer in range(engine.layers.first, engine.layers.last + 1):
            counts[layer] += 1
    lost = next(e for e in held if counts[e.layers.first] == 1)
    culprits = (lost.name,) if how == "culprit" else ()
    rest = [engine for engine in held if engine is not lost]
    if how == "culprit":
        rest.append(lost)
    if how == "draining":
        layers = lost.layers
        rest.append(
            make_engine(lost.name, layers.first, layers.last, "a", "small", ready=False)
        )
    assert plan(loading, rest, 5.0, culprits) == []
    orders = plan(loading, rest, 5.0 + MOVE_DELAY, culprits)
    assert orders
    assert lost.layers.first in range(orders[0].layers.first, orders[0].layers.last + 1)
    assert all(order.upstream != lost.name for order in orders)
