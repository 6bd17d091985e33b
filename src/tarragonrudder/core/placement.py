"""Which engine holds which layers, by demand and with little moved."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.fleet import Configuration, Engine, LayerRange, Model

HEADROOM = 1.1  # bound wanted, as a multiple of the expected demand
GAIN_RATIO = 1.001  # least growth of a bound that is worth a move

Bound: t.TypeAlias = t.Callable[[Model, t.Sequence[Engine]], float]


@dataclass(frozen=True, slots=True)
class Assignment:
    """What an engine is to hold."""

    model: str
    version: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Move:
    """An engine that has to load something else.

    Attributes
    ----------
    size : int
        Bytes to load from the weight store.
    """

    engine: str
    before: Assignment | None
    after: Assignment
    size: int


Placement: t.TypeAlias = t.Mapping[str, Assignment]


def apply_placement(engines: t.Iterable[Engine], placed: Placement) -> list[Engine]:
    """Return the engines as they are placed; those not named as configured."""
    result = []
    for engine in engines:
        assignment = placed.get(engine.name)
        if assignment is None or not engine.movable:
            result.append(engine)
            continue
        result.append(_assign(engine, assignment))
    return result


def estimate_bound(model: Model, engines: t.Sequence[Engine]) -> float:
    """Return tokens a second if each engine runs the whole of its range.

    A lower estimate of the maximum flow: of each layer, the speeds of its
    engines are added up; the weakest layer gives the bound.
    """
    rates = _rate_layers(model, engines)
    return min(rates, default=0.0)


def plan_placement(
    configuration: Configuration,
    current: Placement,
    demand: t.Mapping[str, float],
    bound: Bound = estimate_bound,
) -> Placement:
    """Return a placement that meets the demand with as few moves as it can.

    Parameters
    ----------
    current : Placement
        What movable engines hold now; the others are as configured.
    demand : mapping of str to float
        Tokens a second by ``model@version``.
    bound : callable
        Throughput bound of a model and the engines that hold its layers.

    Returns
    -------
    Placement
        Of all movable engines. One engine at a time is moved to the model
        that lacks most, from a model that can spare it, the smallest load
        first, until no model lacks or no move helps.
    """
    engines = {
        engine.name: engine
        for engine in apply_placement(configuration.engines, current)
    }
    models = {f"{item.name}@{item.version}": item for item in configuration.models}
    needed = {name: demand.get(name, 0.0) * HEADROOM for name in models}
    served = list_served(configuration)
    for _ in range(len(engines)):
        move = _find_move(models, engines, needed, served, bound)
        if move is None:
            break
        name, assignment = move
        engines[name] = _assign(engines[name], assignment)
    placed = {}
    for engine in engines.values():
        if engine.movable:
            placed[engine.name] = Assignment(
                engine.model, engine.version, engine.layers
            )
    return placed


def list_served(configuration: Configuration) -> frozenset[str]:
    """Return the model versions that callers can name: they keep a chain."""
    return frozenset(
        f"{route.model}@{route.version}" for route in configuration.model_routes
    )


def list_moves(
    configuration: Configuration, current: Placement, target: Placement
) -> list[Move]:
    """Return what has to be loaded, the smallest load first."""
    moves = []
    for name, after in target.items():
        before = current.get(name)
        if before == after:
            continue
        size = measure_load(configuration, before, after)
        moves.append(Move(name, before, after, size))
    return sorted(moves, key=lambda move: (move.size, move.engine))


def measure_load(
    configuration: Configuration, before: Assignment | None, after: Assignment
) -> int:
    """Return the bytes an engine loads; layers that it holds are kept."""
    model = configuration.find_model(after.model, after.version)
    if model is None:
        return 0
    kept = 0
    if before is not None and (before.model, before.version) == (
        after.model,
        after.version,
    ):
        first = max(before.layers.first, after.layers.first)
        last = min(before.layers.last, after.layers.last)
        kept = max(0, last - first + 1)
    return (len(after.layers) - kept) * model.layer_bytes


def has_chain(model: Model, engines: t.Iterable[Engine]) -> bool:
    """Tell whether engines cover all layers of a model."""
    return estimate_bound(model, list(_select(model, engines))) > 0.0


def _find_move(
    models: t.Mapping[str, Model],
    engines: t.Mapping[str, Engine],
    needed: t.Mapping[str, float],
    served: frozenset[str],
    bound: Bound,
) -> tuple[str, Assignment] | None:
    bounds = {}
    for name, model in models.items():
        bounds[name] = bound(model, list(_select(model, engines.values())))
    lacking = [name for name in models if bounds[name] < needed[name]]
    lacking.sort(key=lambda name: bounds[name] / needed[name])
    for name in lacking:
        model = models[name]
        holders = list(_select(model, engines.values()))
        best: tuple[tuple[float, float, str], str, Assignment] | None = None
        for engine in engines.values():
            if not engine.movable or _name_model(engine) == name:
                continue
            if not _can_spare(engine, models, engines, needed, served, bound):
                continue
            assignment = _choose_layers(model, holders, engine, models)
            grown = bound(model, [*holders, _assign(engine, assignment)])
            if not _helps(model, holders, assignment, bounds[name], grown):
                continue
            size = len(assignment.layers) * model.layer_bytes
            key = (size, -grown, engine.name)
            if best is None or key < best[0]:
                best = (key, engine.name, assignment)
        if best is not None:
            return best[1], best[2]
    return None


def _helps(
    model: Model,
    holders: t.Sequence[Engine],
    assignment: Assignment,
    before: float,
    after: float,
) -> bool:
    """Tell whether a move raises the bound, or the weakest of its layers."""
    if after > before * GAIN_RATIO:
        return True
    rates = _rate_layers(model, holders)
    weakest = min(rates)
    layers = assignment.layers
    return weakest in rates[layers.first : layers.last + 1]


def _can_spare(
    engine: Engine,
    models: t.Mapping[str, Model],
    engines: t.Mapping[str, Engine],
    needed: t.Mapping[str, float],
    served: frozenset[str],
    bound: Bound,
) -> bool:
    name = _name_model(engine)
    model = models.get(name)
    if model is None:
        return True
    rest = [
        other for other in _select(model, engines.values()) if other.name != engine.name
    ]
    left = bound(model, rest)
    if name in served and left <= 0.0:
        return False
    return left >= needed[name]


def _choose_layers(
    model: Model,
    holders: t.Sequence[Engine],
    engine: Engine,
    models: t.Mapping[str, Model],
) -> Assignment:
    """Return the layers of a model that an engine helps most."""
    rates = _rate_layers(model, holders)
    width = min(model.layer_count, _count_layers(model, engine, models))
    weakest = rates.index(min(rates))
    best: tuple[float, int] | None = None
    first = max(0, weakest - width + 1)
    while first <= min(weakest, model.layer_count - width):
        key = (sum(rates[first : first + width]), first)
        if best is None or key < best:
            best = key
        first += 1
    start = best[1] if best is not None else 0
    layers = LayerRange(start, start + width - 1)
    return Assignment(model.name, model.version, layers)


def _count_layers(model: Model, engine: Engine, models: t.Mapping[str, Model]) -> int:
    """Return how many layers fit where the engine's present ones do."""
    held = models.get(_name_model(engine))
    if held is None or not held.layer_bytes or not model.layer_bytes:
        return len(engine.layers)
    room = len(engine.layers) * held.layer_bytes
    return max(1, room // model.layer_bytes)


def _rate_layers(model: Model, engines: t.Iterable[Engine]) -> list[float]:
    rates = [0.0] * model.layer_count
    for engine in engines:
        rate = engine.layer_tokens_per_second / len(engine.layers)
        for layer in range(engine.layers.first, engine.layers.last + 1):
            rates[layer] += rate
    return rates


def _select(model: Model, engines: t.Iterable[Engine]) -> t.Iterator[Engine]:
    for engine in engines:
        if (engine.model, engine.version) == (model.name, model.version):
            yield engine


def _name_model(engine: Engine) -> str:
    return f"{engine.model}@{engine.version}"


def _assign(engine: Engine, assignment: Assignment) -> Engine:
    return replace(
        engine,
        model=assignment.model,
        version=assignment.version,
        layers=assignment.layers,
    )
