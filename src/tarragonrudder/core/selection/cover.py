"""Least-cost cover of a layer range, used where no flow plan applies."""

import random
import typing as t

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import Engine, LayerRange

HOP_COST = 0.0005  # seconds that each further stage adds
COST_JITTER = 0.1  # random share of a cost; keeps nodes from all choosing alike


def cover_layers(
    engines: t.Sequence[Engine],
    layers: LayerRange,
    estimate_time: t.Callable[[Engine, LayerRange], float],
    source: random.Random,
) -> tuple[Hop, ...]:
    """Return hops that run `layers` once, in order, at the least cost.

    Dynamic programming over the boundaries of the engines' ranges: the cheapest
    cover up to each boundary is extended by every engine that holds the next
    layer. The result is empty if some layer has no engine.
    """
    end = layers.last + 1
    boundaries = {layers.first, end}
    for engine in engines:
        boundaries.add(engine.layers.first)
        boundaries.add(engine.layers.last + 1)
    ordered = sorted(
        boundary for boundary in boundaries if layers.first <= boundary <= end
    )
    costs: dict[int, float] = {layers.first: 0.0}
    steps: dict[int, Hop] = {}
    for boundary in ordered:
        if boundary not in costs or boundary == end:
            continue
        for engine in engines:
            if not engine.layers.first <= boundary <= engine.layers.last:
                continue
            after = min(engine.layers.last + 1, end)
            part = LayerRange(boundary, after - 1)
            jitter = 1.0 + COST_JITTER * source.random()
            cost = costs[boundary] + HOP_COST + jitter * estimate_time(engine, part)
            if cost < costs.get(after, float("inf")):
                costs[after] = cost
                steps[after] = Hop(engine.name, engine.address, part)
    hops: list[Hop] = []
    boundary = end
    while boundary > layers.first:
        hop = steps.get(boundary)
        if hop is None:
            return ()
        hops.append(hop)
        boundary = hop.layers.first
    hops.reverse()
    return tuple(hops)
