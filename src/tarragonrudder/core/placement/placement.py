"""Plans which engine holds which layers, to meet demand with few moves."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.fleet import Configuration, Engine, LayerRange, Model

HEADROOM = 1.1  # required bound, as a multiple of the expected demand
RATE_TOLERANCE = 1e-6  # tokens per second, for rounding errors

Bound: t.TypeAlias = t.Callable[[Model, t.Sequence[Engine]], float]


@dataclass(frozen=True, slots=True)
class Assignment:
    """Layers of a model version that an engine holds or should hold."""

    model: str
    version: str
    layers: LayerRange


@dataclass(frozen=True, slots=True)
class Move:
    """A change of the layers that an engine holds.

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
    """Return the engines as placed; those without a placement as configured."""
    result = []
    for engine in engines:
        assignment = placed.get(engine.name)
        if assignment is None or not engine.movable:
            result.append(engine)
            continue
        result.append(_assign(engine, assignment))
    return result


def estimate_bound(model: Model, engines: t.Sequence[Engine]) -> float:
    """Return tokens per second if each engine runs the whole of its range.

    A lower estimate of the maximum flow: the rates of a layer's engines are
    summed, and the layer with the least sum gives the bound.
    """
    rates = _sum_layer_rates(model, engines)
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
        Tokens per second by ``model@version``.
    bound : callable
        Throughput bound of a model and the engines that hold its layers. It
        decides which models are underserved. The loss from moving an engine
        away is estimated from the layers' summed rates instead, so that planning
        thousands of engines takes milliseconds.

    Returns
    -------
    Placement
        Of all movable engines. One engine at a time is moved to the most
        underserved model, from a model that can spare it, the smallest load
        first, until no model is underserved or no move is possible.
    """
    engines = apply_placement(configuration.engines, current)
    search = _Search(configuration, engines, demand, bound)
    for _ in range(len(engines)):
        if not search.move_one():
            break
    placed = {}
    for engine in search.engines.values():
        if engine.movable:
            placed[engine.name] = Assignment(
                engine.model, engine.version, engine.layers
            )
    return placed


def list_served(configuration: Configuration) -> frozenset[str]:
    """Return the model versions with a route; these must always keep a chain."""
    return frozenset(
        f"{route.model}@{route.version}" for route in configuration.model_routes
    )


def list_moves(
    configuration: Configuration, current: Placement, target: Placement
) -> list[Move]:
    """Return the moves from one placement to another, the smallest load first."""
    moves = []
    for name, after in target.items():
        before = current.get(name)
        if before == after:
            continue
        size = compute_load_size(configuration, before, after)
        moves.append(Move(name, before, after, size))
    return sorted(moves, key=lambda move: (move.size, move.engine))


def compute_load_size(
    configuration: Configuration, before: Assignment | None, after: Assignment
) -> int:
    """Return the bytes that an engine loads, without the layers that it holds."""
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
    return estimate_bound(model, list(_select_engines(model, engines))) > 0.0


_GroupKey: t.TypeAlias = tuple[str, str, int, int, float]


class _Search:
    """Greedy search that moves one engine at a time.

    It keeps each model's rates by layer, and the engines in groups that are
    interchangeable to the search.
    """

    def __init__(
        self,
        configuration: Configuration,
        engines: t.Iterable[Engine],
        demand: t.Mapping[str, float],
        bound: Bound,
    ) -> None:
        self.engines = {engine.name: engine for engine in engines}
        self._holders: dict[str, dict[str, Engine]] = {}
        self._groups: dict[_GroupKey, dict[str, Engine]] = {}
        for engine in self.engines.values():
            self._add(engine)
        self._served = list_served(configuration)
        self._bound = bound
        self._models: dict[str, Model] = {}
        self._needed: dict[str, float] = {}
        self._rates: dict[str, list[float]] = {}
        self._bounds: dict[str, float] = {}
        for model in configuration.models:
            name = f"{model.name}@{model.version}"
            self._models[name] = model
            self._needed[name] = demand.get(name, 0.0) * HEADROOM
            self._update_bound(name)

    def move_one(self) -> bool:
        """Move one engine to an underserved model; False if there is no such move."""
        underserved = [
            name for name in self._models if self._bounds[name] < self._needed[name]
        ]
        underserved.sort(key=lambda name: self._bounds[name] / self._needed[name])
        for name in underserved:
            found = self._find_move(name)
            if found is None:
                continue
            engine, assignment = found
            moved = _assign(engine, assignment)
            self.engines[engine.name] = moved
            held = _name_model(engine)
            del self._holders[held][engine.name]
            del self._groups[_make_group_key(engine)][engine.name]
            self._add(moved)
            self._update_bound(name)
            if held in self._models:
                self._update_bound(held)
            return True
        return False

    def _add(self, engine: Engine) -> None:
        self._holders.setdefault(_name_model(engine), {})[engine.name] = engine
        if engine.movable:
            group = self._groups.setdefault(_make_group_key(engine), {})
            group[engine.name] = engine

    def _update_bound(self, name: str) -> None:
        model = self._models[name]
        holders = list(self._holders.get(name, {}).values())
        self._rates[name] = _sum_layer_rates(model, holders)
        self._bounds[name] = 0.0
        if min(self._rates[name]) > 0.0:
            self._bounds[name] = self._bound(model, holders)

    def _find_move(self, name: str) -> tuple[Engine, Assignment] | None:
        model = self._models[name]
        best: tuple[int, float, str] | None = None
        found = None
        for group in self._groups.values():
            if not group:
                continue
            engine = group[min(group)]
            held = _name_model(engine)
            if held == name:
                continue
            if not self._can_spare(engine):
                continue
            count = _count_fitting_layers(model, engine, self._models.get(held))
            layers = _choose_layers(self._rates[name], count)
            speed = engine.layer_tokens_per_second
            key = (len(layers) * model.layer_bytes, -speed, engine.name)
            if best is None or key < best:
                best = key
                found = engine, Assignment(model.name, model.version, layers)
        return found

    def _can_spare(self, engine: Engine) -> bool:
        name = _name_model(engine)
        if name not in self._models:
            return True
        rates = self._rates[name]
        layers = engine.layers
        lost = engine.layer_tokens_per_second / len(layers)
        left = min(rates)
        for layer in range(layers.first, layers.last + 1):
            left = min(left, rates[layer] - lost)
        if name in self._served and left <= RATE_TOLERANCE:
            return False
        return left >= self._needed[name] - RATE_TOLERANCE


def _choose_layers(rates: t.Sequence[float], count: int) -> LayerRange:
    """Return the range with the least summed rate around the weakest layer."""
    count = min(len(rates), count)
    weakest = rates.index(min(rates))
    first = max(0, weakest - count + 1)
    last = min(weakest, len(rates) - count)
    sums = [(sum(rates[n : n + count]), n) for n in range(first, last + 1)]
    start = min(sums)[1]
    return LayerRange(start, start + count - 1)


def _count_fitting_layers(model: Model, engine: Engine, held: Model | None) -> int:
    """Return how many layers fit in the bytes of the engine's present ones."""
    if held is None or not held.layer_bytes or not model.layer_bytes:
        return len(engine.layers)
    available_bytes = len(engine.layers) * held.layer_bytes
    return max(1, available_bytes // model.layer_bytes)


def _sum_layer_rates(model: Model, engines: t.Iterable[Engine]) -> list[float]:
    rates = [0.0] * model.layer_count
    for engine in engines:
        rate = engine.layer_tokens_per_second / len(engine.layers)
        for layer in range(engine.layers.first, engine.layers.last + 1):
            rates[layer] += rate
    return rates


def _select_engines(model: Model, engines: t.Iterable[Engine]) -> t.Iterator[Engine]:
    for engine in engines:
        if (engine.model, engine.version) == (model.name, model.version):
            yield engine


def _make_group_key(engine: Engine) -> _GroupKey:
    """Return the key of engines that are interchangeable to the search."""
    layers = engine.layers
    place = (engine.model, engine.version, layers.first, layers.last)
    return (*place, engine.layer_tokens_per_second)


def _name_model(engine: Engine) -> str:
    return f"{engine.model}@{engine.version}"


def _assign(engine: Engine, assignment: Assignment) -> Engine:
    return replace(
        engine,
        model=assignment.model,
        version=assignment.version,
        layers=assignment.layers,
    )
