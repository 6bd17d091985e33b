"""Assigns layers to empty engines, by what their data centre lacks."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import EngineProfile

# Share of an engine's slots for which a stage reserves memory, in requests of
# typical size. A third of the slots carries a data centre's normal load; that grows
# by half when another data centre is lost, and by a further quarter in a burst.
RESERVED_SLOT_SHARE = 0.62
# Factors by which each existing copy of a layer reduces the value of another one,
# within a data centre and in the whole fleet. Copies in the same data centre weigh
# more, as paths that stay within it use no shared link.
LOCAL_DECAY = 0.2
FLEET_DECAY = 0.5
FLEET_WEIGHT = 0.3
MAX_MOVES_PER_CENTER = 4  # at once; the remaining engines must carry the requests


@dataclass(frozen=True, slots=True)
class EmptyEngine:
    """An engine that holds no layers."""

    name: str
    data_center: str
    kind: str


@dataclass(frozen=True, slots=True)
class PlacedEngine:
    """An engine that holds layers, or will once its order is done.

    Attributes
    ----------
    movable : bool
        Whether it may be ordered to load other layers now.
    """

    name: str
    data_center: str
    kind: str
    layers: LayerRange
    movable: bool = False


def count_fitting_layers(profile: EngineProfile, kind: str) -> int:
    """Return how many layers fit an engine of a kind beside its requests' memory."""
    accelerator = profile.kinds.get(kind)
    if accelerator is None:
        return 0
    tokens = profile.mean_prompt_tokens + profile.mean_answer_tokens
    reserved = RESERVED_SLOT_SHARE * profile.slots * tokens * profile.token_bytes
    each = profile.layer_bytes + reserved / profile.layer_count
    return min(profile.layer_count, int(accelerator.memory / each))


def can_hold_model(profile: EngineProfile, kinds: t.Iterable[str]) -> bool:
    """Tell whether engines of some kinds can together hold all layers."""
    layers = sum(count_fitting_layers(profile, kind) for kind in kinds)
    return layers >= profile.layer_count


def assign_layers(
    profile: EngineProfile,
    placed_engines: t.Sequence[PlacedEngine],
    empty_engines: t.Iterable[EmptyEngine],
) -> dict[str, LayerRange]:
    """Return the layers for each empty engine.

    Load pattern: a crash, a release or a new engine leaves one engine empty
    while traffic goes on. Engines that hold layers keep them, as a move takes
    away capacity while it lasts. The fastest engines are placed first and on
    adjacent ranges, so that each data centre gets one path on which requests
    hold memory for the shortest time. The other engines replicate the layers
    with the fewest copies. What no engine would hold then comes before all that, as
    no request can be served without it.
    """
    local: dict[str, list[int]] = {}
    fleet = [0] * profile.layer_count
    boundaries: dict[str, set[int]] = {}
    for placed in placed_engines:
        _add_copies(
            profile, placed.data_center, placed.layers, local, fleet, boundaries
        )
    chosen = {}
    added = []
    for empty in sorted(empty_engines, key=lambda empty: _sort_key(profile, empty)):
        size = count_fitting_layers(profile, empty.kind)
        if size < 1:
            continue
        center = empty.data_center
        counts = local.get(center, [0] * profile.layer_count)
        layers = _choose_layers(counts, fleet, boundaries.get(center, set()), size)
        chosen[empty.name] = layers
        added.append(PlacedEngine(empty.name, center, empty.kind, layers, True))
        _add_copies(profile, center, layers, local, fleet, boundaries)
    if added and 0 in fleet:
        fixed = [replace(placed, movable=False) for placed in placed_engines]
        chosen.update(_close_fleet_gaps(profile, [*fixed, *added]))
    return chosen


def find_moves(
    profile: EngineProfile, placed_engines: t.Sequence[PlacedEngine]
) -> dict[str, LayerRange]:
    """Return engines to move, with the layers to take over.

    Load pattern: an engine is lost for good, or for seconds. Where no engine at all
    has its layers, no request can be served, and any engine may take over. Otherwise
    all requests of its data centre need a link that others share, and an engine whose
    layers all have a second copy there takes over. It is unavailable while it loads
    its new layers, which is for less time than a crash lasts.
    """
    moves = _close_fleet_gaps(profile, placed_engines)
    centers = sorted({placed.data_center for placed in placed_engines})
    for center in centers:
        local = [placed for placed in placed_engines if placed.data_center == center]
        if sum(_count_copies(profile, local, moves)) < profile.layer_count:
            continue  # its engines can't hold a whole path
        _move_spares(profile, local, moves, MAX_MOVES_PER_CENTER)
    return moves


def _close_fleet_gaps(
    profile: EngineProfile, placed_engines: t.Sequence[PlacedEngine]
) -> dict[str, LayerRange]:
    """Return moves after which some engine of the fleet holds each layer.

    Engines that others can replace move first. If they don't suffice, engines are
    placed one behind the other, as what they hold is of no use without the rest.
    """
    moves: dict[str, LayerRange] = {}
    _move_spares(profile, placed_engines, moves, len(placed_engines))
    if 0 not in _count_copies(profile, placed_engines, moves):
        return moves
    packed = _pack(profile, placed_engines)
    if 0 not in _count_copies(profile, placed_engines, packed):
        return packed
    return moves


def _move_spares(
    profile: EngineProfile,
    engines: t.Sequence[PlacedEngine],
    moves: dict[str, LayerRange],
    max_moves: int,
) -> None:
    """Add moves of engines to layers that none of them holds."""
    for _ in range(max_moves):
        counts = _count_copies(profile, engines, moves)
        if 0 not in counts:
            return
        spare = _find_spare_engine(profile, engines, counts, moves)
        if spare is None:
            return
        size = count_fitting_layers(profile, spare.kind)
        first = min(counts.index(0), profile.layer_count - size)
        moves[spare.name] = LayerRange(first, first + size - 1)


def _pack(
    profile: EngineProfile, placed_engines: t.Sequence[PlacedEngine]
) -> dict[str, LayerRange]:
    """Return moves that fill the layers of immovable engines up, in layer order."""
    fixed = [placed for placed in placed_engines if not placed.movable]
    movable = [placed for placed in placed_engines if placed.movable]
    counts = _count_copies(profile, fixed, {})
    moves: dict[str, LayerRange] = {}
    for placed in sorted(movable, key=lambda each: (each.layers.first, each.name)):
        size = count_fitting_layers(profile, placed.kind)
        if 0 not in counts or size < 1:
            continue
        first = min(counts.index(0), profile.layer_count - size)
        layers = LayerRange(first, first + size - 1)
        for layer in range(first, first + size):
            counts[layer] += 1
        if layers != placed.layers:
            moves[placed.name] = layers
    return moves


def _count_copies(
    profile: EngineProfile,
    engines: t.Iterable[PlacedEngine],
    moves: t.Mapping[str, LayerRange],
) -> list[int]:
    """Return how many engines hold each layer, once moves are done."""
    counts = [0] * profile.layer_count
    for placed in engines:
        layers = moves.get(placed.name, placed.layers)
        for layer in range(layers.first, layers.last + 1):
            counts[layer] += 1
    return counts


def _find_spare_engine(
    profile: EngineProfile,
    engines: t.Sequence[PlacedEngine],
    counts: t.Sequence[int],
    moves: t.Container[str],
) -> PlacedEngine | None:
    """Return the slowest movable engine whose layers all have another copy."""
    best, best_factor = None, 0.0
    for placed in engines:
        if not placed.movable or placed.name in moves:
            continue
        layers = range(placed.layers.first, placed.layers.last + 1)
        if min(counts[layer] for layer in layers) < 2:
            continue
        factor = profile.kinds[placed.kind].step_factor
        if factor > best_factor:
            best, best_factor = placed, factor
    return best


def _sort_key(profile: EngineProfile, empty: EmptyEngine) -> tuple[t.Any, ...]:
    kind = profile.kinds.get(empty.kind)
    factor = kind.step_factor if kind is not None else 0.0
    return (factor, -count_fitting_layers(profile, empty.kind), empty.name)


def _add_copies(
    profile: EngineProfile,
    center: str,
    layers: LayerRange,
    local: dict[str, list[int]],
    fleet: list[int],
    boundaries: dict[str, set[int]],
) -> None:
    counts = local.setdefault(center, [0] * profile.layer_count)
    for layer in range(layers.first, min(layers.last + 1, profile.layer_count)):
        counts[layer] += 1
        fleet[layer] += 1
    boundaries.setdefault(center, set()).update((layers.first, layers.last + 1))


def _choose_layers(
    local: t.Sequence[int], fleet: t.Sequence[int], boundaries: set[int], size: int
) -> LayerRange:
    end = len(fleet)
    starts = {0, end - size}
    for boundary in boundaries:
        starts.update((boundary, boundary - size))
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
