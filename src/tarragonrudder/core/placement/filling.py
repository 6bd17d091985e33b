"""Which layers an empty engine should hold, by what its data centre lacks."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import EngineProfile

# Part of an engine's slots for which a stage keeps memory, in requests of the
# usual size. A third of the slots carries a data centre's usual load; half as much
# again comes when another data centre is lost, and a quarter more in a burst.
ROOM_SHARE = 0.62
# How much less a further copy of a layer is worth than the one before it, within
# a data centre and in the whole fleet. Copies in the same data centre count for
# more: paths that stay within it cost no shared link.
LOCAL_DECAY = 0.2
FLEET_DECAY = 0.5
FLEET_WEIGHT = 0.3
MAX_MOVES = 4  # of one data centre at once; the rest must carry its requests


@dataclass(frozen=True, slots=True)
class Vacancy:
    """An engine without layers."""

    name: str
    data_center: str
    kind: str


@dataclass(frozen=True, slots=True)
class Holding:
    """An engine that holds layers, or will once its order is done.

    Attributes
    ----------
    movable : bool
        Whether it may be given other layers now.
    """

    name: str
    data_center: str
    kind: str
    layers: LayerRange
    movable: bool = False


def count_layers(profile: EngineProfile, kind: str) -> int:
    """Return how many layers a kind of engine holds beside its requests."""
    accelerator = profile.kinds.get(kind)
    if accelerator is None:
        return 0
    tokens = profile.mean_prompt_tokens + profile.mean_answer_tokens
    room = ROOM_SHARE * profile.slots * tokens * profile.token_bytes
    each = profile.layer_bytes + room / profile.layer_count
    return min(profile.layer_count, int(accelerator.memory / each))


def fill_vacancies(
    profile: EngineProfile,
    holdings: t.Iterable[Holding],
    vacancies: t.Iterable[Vacancy],
) -> dict[str, LayerRange]:
    """Return the layers for each empty engine.

    Load pattern: a crash, a release or a new engine leaves one engine empty
    while traffic goes on. Engines that hold layers are left alone: a move
    takes capacity away while it lasts. The fastest engines are placed first
    and side by side, so that each data centre gets one path on which requests
    hold memory for the shortest time; what is left doubles the layers that are
    held least.
    """
    local: dict[str, list[int]] = {}
    fleet = [0] * profile.layer_count
    edges: dict[str, set[int]] = {}
    for holding in holdings:
        _count(profile, holding.data_center, holding.layers, local, fleet, edges)
    chosen = {}
    for vacancy in sorted(vacancies, key=lambda v: _rank(profile, v)):
        size = count_layers(profile, vacancy.kind)
        if size < 1:
            continue
        place = vacancy.data_center
        counts = local.get(place, [0] * profile.layer_count)
        layers = _choose(counts, fleet, edges.get(place, set()), size)
        chosen[vacancy.name] = layers
        _count(profile, place, layers, local, fleet, edges)
    return chosen


def find_moves(
    profile: EngineProfile, holdings: t.Sequence[Holding]
) -> dict[str, LayerRange]:
    """Return engines that should take over layers that their data centre lost.

    Load pattern: an engine is lost for good, or for seconds, and all requests of
    its data centre need a link that others share. An engine whose layers are
    all held twice there takes over: it is away for as long as its new layers
    take to load, which is less than a crash lasts.
    """
    moves: dict[str, LayerRange] = {}
    places = sorted({holding.data_center for holding in holdings})
    for place in places:
        local = [holding for holding in holdings if holding.data_center == place]
        counts = [0] * profile.layer_count
        for holding in local:
            for layer in range(holding.layers.first, holding.layers.last + 1):
                counts[layer] += 1
        if sum(counts) < profile.layer_count:
            continue  # it can't hold a whole path
        for _ in range(MAX_MOVES):
            if 0 not in counts:
                break
            hole = counts.index(0)
            mover = _find_mover(profile, local, counts, moves)
            if mover is None:
                break
            size = count_layers(profile, mover.kind)
            first = min(hole, profile.layer_count - size)
            moves[mover.name] = LayerRange(first, first + size - 1)
            for layer in range(mover.layers.first, mover.layers.last + 1):
                counts[layer] -= 1
            for layer in range(first, first + size):
                counts[layer] += 1
    return moves


def _find_mover(
    profile: EngineProfile,
    local: t.Sequence[Holding],
    counts: t.Sequence[int],
    moves: t.Container[str],
) -> Holding | None:
    """Return the slowest engine whose layers are all held by another as well."""
    best, best_factor = None, 0.0
    for holding in local:
        if not holding.movable or holding.name in moves:
            continue
        layers = range(holding.layers.first, holding.layers.last + 1)
        if min(counts[layer] for layer in layers) < 2:
            continue
        factor = profile.kinds[holding.kind].step_factor
        if factor > best_factor:
            best, best_factor = holding, factor
    return best


def _rank(profile: EngineProfile, vacancy: Vacancy) -> tuple[t.Any, ...]:
    kind = profile.kinds.get(vacancy.kind)
    factor = kind.step_factor if kind is not None else 0.0
    return (factor, -count_layers(profile, vacancy.kind), vacancy.name)


def _count(
    profile: EngineProfile,
    place: str,
    layers: LayerRange,
    local: dict[str, list[int]],
    fleet: list[int],
    edges: dict[str, set[int]],
) -> None:
    counts = local.setdefault(place, [0] * profile.layer_count)
    for layer in range(layers.first, min(layers.last + 1, profile.layer_count)):
        counts[layer] += 1
        fleet[layer] += 1
    edges.setdefault(place, set()).update((layers.first, layers.last + 1))


def _choose(
    local: t.Sequence[int], fleet: t.Sequence[int], edges: set[int], size: int
) -> LayerRange:
    end = len(fleet)
    starts = {0, end - size}
    for edge in edges:
        starts.update((edge, edge - size))
    best, best_value = 0, -1.0
    for start in sorted(starts):
        if not 0 <= start <= end - size:
            continue
        value = 0.0
        for layer in range(start, start + size):
            value += LOCAL_DECAY ** local[layer]
            value += FLEET_WEIGHT * FLEET_DECAY ** fleet[layer]
        if value > best_value + 1e-9:
            best, best_value = start, value
    return LayerRange(best, best + size - 1)
