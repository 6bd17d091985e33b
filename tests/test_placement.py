import pytest

from tarragonrudder.core.domain.fleet import (
    Configuration,
    Engine,
    LayerRange,
    Model,
    ModelRoute,
    WeightStore,
)
from tarragonrudder.core.placement.placement import (
    Assignment,
    compute_load_size,
    estimate_bound,
    list_moves,
    plan_placement,
)
from tarragonrudder.core.placement.planner import LOAD_MARGIN, compute_lead_time
from tarragonrudder.core.placement.transition import DRAIN_PERIOD

JURY = Model("jury", "1", 4, 100)
DRAFT = Model("draft", "1", 4, 50)


def make_engine(
    name: str,
    model: Model,
    first: int,
    last: int,
    movable: bool = True,
    speed: float = 100.0,
) -> Engine:
    return Engine(
        name,
        "",
        "mi-1",
        "l40",
        model.name,
        model.version,
        LayerRange(first, last),
        speed,
        movable=movable,
    )


def make_configuration(engines: list[Engine]) -> Configuration:
    return Configuration(
        1,
        models=(JURY, DRAFT),
        engines=tuple(engines),
        model_routes=(ModelRoute("jury", "jury", "1"),),
        weight_store=WeightStore(100.0),
    )


@pytest.mark.parametrize(
    ("ranges", "expected"),
    [
        ([], 0.0),
        ([(0, 3)], 25.0),
        ([(0, 1)], 0.0),
        ([(0, 1), (2, 3)], 50.0),
        ([(0, 1), (2, 3), (2, 3)], 50.0),
        ([(0, 1), (2, 3), (0, 3)], 75.0),
    ],
)
def test_bound(ranges: list[tuple[int, int]], expected: float) -> None:
    engines = [make_engine(str(i), JURY, *item) for i, item in enumerate(ranges)]
    assert estimate_bound(JURY, engines) == expected


FLEET = [
    make_engine("a", JURY, 0, 1),
    make_engine("b", JURY, 2, 3),
    make_engine("c", JURY, 0, 1),
    make_engine("d", JURY, 2, 3),
    make_engine("e", DRAFT, 0, 3),
]


@pytest.mark.parametrize(
    ("engines", "demand", "moved"),
    [
        (FLEET, {}, set()),
        (FLEET, {"jury@1": 90.0}, set()),
        (FLEET, {"draft@1": 20.0}, set()),
        # One engine holds all of the smaller model's layers.
        (FLEET, {"draft@1": 40.0}, {"a"}),
        (FLEET, {"draft@1": 40.0, "jury@1": 40.0}, {"a"}),
        # The last chain of a model that callers can name stays.
        (FLEET, {"draft@1": 1000.0}, {"a", "b"}),
        # Draft has no route: its engine can go altogether.
        (FLEET, {"jury@1": 100.0}, {"e"}),
        # None may move.
        (
            [make_engine(x.name, JURY, 0, 3, movable=False) for x in FLEET],
            {"draft@1": 5.0},
            set(),
        ),
    ],
)
def test_moves(
    engines: list[Engine], demand: dict[str, float], moved: set[str]
) -> None:
    configuration = make_configuration(engines)
    current = {}
    for engine in engines:
        if engine.movable:
            current[engine.name] = Assignment(
                engine.model, engine.version, engine.layers
            )
    target = plan_placement(configuration, current, demand)
    assert {move.engine for move in list_moves(configuration, current, target)} == moved


@pytest.mark.parametrize(
    ("before", "after", "size"),
    [
        (None, (0, 3), 400),
        (("jury", 0, 3), (0, 3), 0),
        (("jury", 0, 1), (0, 3), 200),
        (("jury", 2, 3), (0, 2), 200),
        (("draft", 0, 3), (0, 3), 400),
    ],
)
def test_load(
    before: tuple[str, int, int] | None, after: tuple[int, int], size: int
) -> None:
    held = None
    if before is not None:
        held = Assignment(before[0], "1", LayerRange(before[1], before[2]))
    wanted = Assignment("jury", "1", LayerRange(*after))
    assert compute_load_size(make_configuration([]), held, wanted) == size


def test_lead_counts_all_that_loads_against_the_stores_rate() -> None:
    configuration = make_configuration(FLEET)
    current = {
        "e": Assignment("draft", "1", LayerRange(0, 3)),
        "f": Assignment("draft", "1", LayerRange(0, 3)),
    }
    wanted = Assignment("jury", "1", LayerRange(0, 3))
    moves = list_moves(configuration, current, {"e": wanted, "f": wanted})
    assert (
        compute_lead_time(configuration, moves) == 8.0 + 2 * DRAIN_PERIOD + LOAD_MARGIN
    )
