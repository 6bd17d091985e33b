"""Search for the cheapest stages that together run a range of layers."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange

MAX_HOPS = 32  # an engine refuses a longer path
DRAWN_CANDIDATES = 2  # of equal ones; more would let nodes herd on old reports


@dataclass(slots=True)
class Candidate:
    """An engine that may run a stage, with its costs.

    Attributes
    ----------
    fixed_cost, cost_per_layer : float
        Seconds of a caller's time, with penalties for a full stage.
    has_capacity : bool
        Whether it has memory for the request.
    step_factor : float
        Factor by which its decode steps take longer than the profile states.
    is_spared : bool
        Whether it is used only where no other one is left: it is slow or named a limit.
    """

    name: str
    address: str
    data_center: str
    layers: LayerRange
    fixed_cost: float
    cost_per_layer: float
    has_capacity: bool
    step_factor: float
    is_spared: bool = False


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of a path, with its share of the path's cost."""

    hop: Hop
    data_center: str
    cost: float
    candidate: Candidate


# Cost of entering a stage in the second data centre from the first one, at a layer.
CrossingCost: t.TypeAlias = t.Callable[[str, str, int], float]


@dataclass(slots=True)
class _Partial:
    """The cheapest stages up to some layer, ending in some data centre."""

    cost: float
    hops: int = 0
    first_layer: int = 0  # of the last stage
    previous: "_Partial | None" = None
    candidate: Candidate | None = None


def find_cover(
    candidates: t.Sequence[Candidate],
    layers: LayerRange,
    data_center: str,
    first_upstream: str | None,
    compute_crossing_cost: CrossingCost,
    source: random.Random | None = None,
) -> list[Stage]:
    """Return the cheapest stages that run `layers` once, in order.

    Load pattern: hundreds of engines hold the same few ranges, so most are dominated
    by another one of the same range and data centre. Each boundary between layers is
    extended once a candidate, whichever data centre the work comes from.

    Parameters
    ----------
    data_center : str
        Data centre that the work comes from.
    first_upstream : str or None
        Engine that must run layer 0.
    source : random.Random or None
        Draws among equal engines; None to consider all of them.

    Returns
    -------
    list of Stage
        Empty if some layer has no engine.
    """
    kept = _choose_candidates(candidates, first_upstream, source)
    end = layers.last + 1
    holders = _list_holders(kept, layers)
    # Cheapest way to each layer, by the data centre in which it ends.
    reached: dict[int, dict[str, _Partial]] = {
        layers.first: {data_center: _Partial(0.0)}
    }
    for layer in sorted(holders):
        arrivals = reached.get(layer)
        if arrivals is None:
            continue
        entries: dict[str, tuple[float, _Partial] | None] = {}
        for candidate in holders[layer]:
            if layer == 0 and first_upstream not in (None, candidate.name):
                continue
            target = candidate.data_center
            if target not in entries:
                entries[target] = _find_entry(
                    arrivals, target, layer, compute_crossing_cost
                )
            entry = entries[target]
            if entry is None:
                continue
            cost, previous = entry
            after = min(candidate.layers.last + 1, end)
            cost += candidate.fixed_cost + candidate.cost_per_layer * (after - layer)
            ends = reached.setdefault(after, {})
            known = ends.get(target)
            if known is None or cost < known.cost:
                ends[target] = _Partial(
                    cost, previous.hops + 1, layer, previous, candidate
                )
    finals = reached.get(end)
    if not finals:
        return []
    return _backtrack(min(finals.values(), key=lambda partial: partial.cost), end)


def _choose_candidates(
    candidates: t.Iterable[Candidate],
    first_upstream: str | None,
    source: random.Random | None,
) -> list[Candidate]:
    """Return the candidates worth a search, of each kind, range and data centre.

    Of many equal ones `DRAWN_CANDIDATES` are drawn; then those are dropped for which
    another one is cheaper throughout.
    """
    groups: dict[tuple[int, int, str, float], list[Candidate]] = {}
    for candidate in candidates:
        layers = candidate.layers
        key = (layers.first, layers.last, candidate.data_center, candidate.step_factor)
        groups.setdefault(key, []).append(candidate)
    kept = []
    for group in groups.values():
        if source is not None and len(group) > DRAWN_CANDIDATES:
            group = _draw_candidates(group, first_upstream, source)
        if len(group) > 1:
            group.sort(key=_get_fixed_cost)
        lowest = float("inf")
        for candidate in group:
            if candidate.cost_per_layer < lowest or candidate.name == first_upstream:
                lowest = min(lowest, candidate.cost_per_layer)
                kept.append(candidate)
    return kept


def _draw_candidates(
    group: list[Candidate], first_upstream: str | None, source: random.Random
) -> list[Candidate]:
    """Draw candidates with room that needn't be spared, else the next best.

    Load pattern: tens of nodes choose among equal engines at once, on reports that are
    seconds old. The engine that looks emptiest would get the beginnings of all.
    """
    eligible = [each for each in group if each.has_capacity and not each.is_spared]
    if not eligible:
        eligible = [each for each in group if each.has_capacity] or group
    drawn = source.sample(eligible, min(DRAWN_CANDIDATES, len(eligible)))
    if first_upstream is not None:
        drawn.extend(
            each for each in group if each.name == first_upstream and each not in drawn
        )
    return drawn


def _get_fixed_cost(candidate: Candidate) -> float:
    return candidate.fixed_cost


def _list_holders(
    candidates: t.Sequence[Candidate], layers: LayerRange
) -> dict[int, list[Candidate]]:
    """Return the candidates that hold each layer at which a stage may begin."""
    boundaries = {layers.first}
    for candidate in candidates:
        boundaries.add(candidate.layers.first)
        boundaries.add(candidate.layers.last + 1)
    ordered = sorted(
        boundary for boundary in boundaries if layers.first <= boundary <= layers.last
    )
    holders: dict[int, list[Candidate]] = {boundary: [] for boundary in ordered}
    for candidate in candidates:
        first, last = candidate.layers.first, candidate.layers.last
        for boundary in ordered:
            if boundary > last:
                break
            if boundary >= first:
                holders[boundary].append(candidate)
    return holders


def _find_entry(
    arrivals: t.Mapping[str, _Partial],
    data_center: str,
    layer: int,
    compute_crossing_cost: CrossingCost,
) -> tuple[float, _Partial] | None:
    """Return the cheapest way to a layer of a stage in a data centre."""
    best: tuple[float, _Partial] | None = None
    for before, partial in arrivals.items():
        if partial.hops >= MAX_HOPS:
            continue
        cost = partial.cost
        if before != data_center:
            cost += compute_crossing_cost(before, data_center, layer)
        if best is None or cost < best[0]:
            best = (cost, partial)
    return best


def _backtrack(last: _Partial, end: int) -> list[Stage]:
    stages: list[Stage] = []
    partial, after = last, end
    while partial.candidate is not None and partial.previous is not None:
        candidate = partial.candidate
        layers = LayerRange(partial.first_layer, after - 1)
        stages.append(
            Stage(
                Hop(candidate.name, candidate.address, layers),
                candidate.data_center,
                partial.cost - partial.previous.cost,
                candidate,
            )
        )
        partial, after = partial.previous, partial.first_layer
    stages.reverse()
    return stages
