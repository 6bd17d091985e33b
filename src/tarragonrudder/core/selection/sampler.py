"""Random chains, drawn in proportion to a flow plan."""

import random
import typing as t
from bisect import bisect_left
from itertools import accumulate

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import Engine, LayerRange
from tarragonrudder.core.selection.flow import Plan


class _WeightedChoice:
    """Draws a name with a probability proportional to its weight."""

    def __init__(self, weights: t.Mapping[str, float]) -> None:
        self.names = [name for name, weight in weights.items() if weight > 0.0]
        self.sums = list(accumulate(weights[name] for name in self.names))

    @property
    def total(self) -> float:
        return self.sums[-1] if self.sums else 0.0

    def draw(self, source: random.Random) -> str | None:
        if not self.sums:
            return None
        index = bisect_left(self.sums, source.random() * self.sums[-1])
        return self.names[min(index, len(self.names) - 1)]


class Sampler:
    """Draws chains so that each engine gets its share of the plan.

    From one segment to the next a chain stays on its engine up to the smaller
    of the engine's two planned rates. Beyond that, it moves to another engine,
    in a data centre drawn in proportion to the plan's flows.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._engines: dict[str, Engine] = {}
        self._rates: list[dict[str, float]] = []
        for shares in plan.shares:
            self._rates.append({each.engine.name: each.rate for each in shares})
            for share in shares:
                self._engines[share.engine.name] = share.engine
        self._mean_layers = self._compute_mean_layers()
        self._first = (
            _WeightedChoice(self._rates[0]) if self._rates else _WeightedChoice({})
        )
        self._entries: list[dict[str, _WeightedChoice]] = []
        self._centers: list[dict[str, _WeightedChoice]] = []
        for index in range(1, len(plan.segments)):
            self._prepare_boundary(index)

    def find_mean_layers(self, engine: str) -> float:
        """Return the mean number of layers that an engine runs per token."""
        return self._mean_layers.get(engine, 0.0)

    def draw(self, source: random.Random) -> tuple[Hop, ...]:
        """Return a random chain's hops; empty if the plan has none."""
        name = self._first.draw(source)
        if name is None:
            return ()
        hops: list[Hop] = []
        begin = 0
        segments = self.plan.segments
        for index in range(1, len(segments)):
            after = self._draw_next(name, index, source)
            if after is None:
                return ()
            if after == name:
                continue
            hops.append(self._make_hop(name, begin, index - 1))
            name, begin = after, index
        hops.append(self._make_hop(name, begin, len(segments) - 1))
        return tuple(hops)

    def _compute_mean_layers(self) -> dict[str, float]:
        work: dict[str, float] = {}
        most: dict[str, float] = {}
        for segment, rates in zip(self.plan.segments, self._rates, strict=True):
            for name, rate in rates.items():
                work[name] = work.get(name, 0.0) + rate * len(segment)
                most[name] = max(most.get(name, 0.0), rate)
        return {name: work[name] / most[name] for name in work if most[name] > 0.0}

    def _prepare_boundary(self, index: int) -> None:
        """Compute the weights for entering a segment from other engines."""
        before, here = self._rates[index - 1], self._rates[index]
        entering: dict[str, dict[str, float]] = {}
        target_rates: dict[str, dict[str, float]] = {}
        for each in self.plan.center_flows[index - 1]:
            target_rates.setdefault(each.source, {})[each.target] = each.rate
        for name, rate in here.items():
            center = self._engines[name].data_center
            staying = min(rate, before.get(name, 0.0))
            entering.setdefault(center, {})[name] = rate - staying
            if center in target_rates.get(center, {}):
                left = target_rates[center][center] - staying
                target_rates[center][center] = max(0.0, left)
        entries = {}
        for center, weights in entering.items():
            choice = _WeightedChoice(weights)
            if not choice.sums:
                # By the plan all chains here stay on their engines: chains that
                # arrive from elsewhere are spread by the engines' full rates.
                choice = _WeightedChoice({name: here[name] for name in weights})
            entries[center] = choice
        self._entries.append(entries)
        centers = {
            center: _WeightedChoice(rates) for center, rates in target_rates.items()
        }
        self._centers.append(centers)

    def _draw_next(self, name: str, index: int, source: random.Random) -> str | None:
        rate = self._rates[index - 1][name]
        staying = min(rate, self._rates[index].get(name, 0.0))
        if staying > 0.0 and source.random() * rate < staying:
            return name
        entries = self._entries[index - 1]
        own_center = self._engines[name].data_center
        centers = self._centers[index - 1].get(own_center)
        target = centers.draw(source) if centers is not None else None
        if target is None:
            target = own_center if own_center in entries else next(iter(entries), None)
        if target is None or target not in entries:
            return None
        return entries[target].draw(source)

    def _make_hop(self, name: str, begin: int, end: int) -> Hop:
        engine = self._engines[name]
        segments = self.plan.segments
        layers = LayerRange(segments[begin].first, segments[end].last)
        return Hop(name, engine.address, layers)
