"""Baseline chain selectors that the flow plan is compared with."""

import random

from tarragonrudder.core.domain.chain import Chain, Hop
from tarragonrudder.core.domain.event import CacheChanged, LoadReported
from tarragonrudder.core.domain.fleet import Engine, LayerRange
from tarragonrudder.core.selection.cover import cover_layers
from tarragonrudder.core.selection.plan_cache import PlanCache
from tarragonrudder.core.selection.selector import ChainRequirements, Selector


class RandomSelector(Selector):
    """Picks a random engine that holds the next layer at each stage."""

    def choose(self, requirements: ChainRequirements, now: float) -> Chain | None:
        """Return a chain that covers all layers, or None if there is none."""
        self._now = now
        excluded = requirements.excluded | requirements.avoided
        hops: list[Hop] = []
        layer = 0
        while layer < requirements.model.layer_count:
            usable = [
                engine
                for engine in self._plans.list_engines(requirements.model)
                if engine.name not in excluded
                and engine.layers.first <= layer <= engine.layers.last
            ]
            if not usable:
                return None
            engine = self._pick(usable)
            last = engine.layers.last
            hops.append(Hop(engine.name, engine.address, LayerRange(layer, last)))
            layer = last + 1
        return Chain(requirements.model.name, requirements.model.version, tuple(hops))

    def handle_cache_change(self, event: CacheChanged, now: float) -> None:
        """Ignore cache events."""

    def _pick(self, engines: list[Engine]) -> Engine:
        return self._random.choice(engines)


class LeastLoadSelector(RandomSelector):
    """Picks the engine with the least reported load per speed at each stage."""

    def __init__(
        self, data_center: str, source: random.Random, plans: PlanCache | None = None
    ) -> None:
        super().__init__(data_center, source, plans)
        self._reported: dict[str, int] = {}

    def handle_load_report(self, event: LoadReported, now: float) -> None:
        """Store the reported load without any correction."""
        super().handle_load_report(event, now)
        self._reported[event.upstream] = event.running + event.queued

    def _pick(self, engines: list[Engine]) -> Engine:
        def rank(engine: Engine) -> tuple[float, float]:
            reported = self._reported.get(engine.name, 0)
            load = (reported + 1) / engine.layer_tokens_per_second
            return (load, self._random.random())

        return min(engines, key=rank)


class ShortestSelector(RandomSelector):
    """Chooses the chain with the fewest stages; ties are broken at random."""

    def choose(self, requirements: ChainRequirements, now: float) -> Chain | None:
        """Return a chain that covers all layers, or None if there is none."""
        self._now = now
        excluded = requirements.excluded | requirements.avoided
        usable = [
            engine
            for engine in self._plans.list_engines(requirements.model)
            if engine.name not in excluded
        ]
        self._random.shuffle(usable)
        whole = LayerRange(0, requirements.model.layer_count - 1)
        hops = cover_layers(usable, whole, _count_stage, random.Random(0))
        if not hops:
            return None
        return Chain(requirements.model.name, requirements.model.version, hops)


class UncorrectedSelector(Selector):
    """Draws from the flow plan, but ignores the node's own work in flight."""

    def start(self, chain: Chain) -> None:
        """Ignore an attempt that starts on a chain."""

    def finish(self, chain: Chain) -> None:
        """Ignore an attempt that ended on a chain."""


def _count_stage(engine: Engine, layers: LayerRange) -> float:
    return 0.0
