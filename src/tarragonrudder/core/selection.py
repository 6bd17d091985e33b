"""Choice of the chain that an answer passes through."""

import random
from dataclasses import dataclass

from tarragonrudder.core.chain import Chain, Hop
from tarragonrudder.core.event import CacheChanged, LoadReported
from tarragonrudder.core.fleet import Configuration, Engine, LayerRange, Model


@dataclass(frozen=True, slots=True)
class Need:
    """What a chain is wanted for.

    Attributes
    ----------
    prefix : str
        Digest of the prompt's prefix, to find cached prefixes.
    excluded : frozenset of str
        Upstreams that must not be in the chain.
    avoided : frozenset of str
        Upstreams that are used only if there is no other chain.
    keep : Chain or None
        Broken chain whose healthy stages are kept where possible.
    """

    model: Model
    prefix: str
    excluded: frozenset[str]
    avoided: frozenset[str] = frozenset()
    keep: Chain | None = None


class Selector:
    """Chooses chains and keeps count of its own work in flight."""

    def __init__(self, data_center: str, source: random.Random) -> None:
        self._data_center = data_center
        self._random = source
        self._engines: dict[tuple[str, str], list[Engine]] = {}
        self._running: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""
        self._engines = {}
        for engine in configuration.engines:
            key = (engine.model, engine.version)
            self._engines.setdefault(key, []).append(engine)

    def choose(self, need: Need, now: float) -> Chain | None:
        """Return a chain that covers all layers, or None if there is none."""
        engines = self._engines.get((need.model.name, need.model.version), [])
        usable = [engine for engine in engines if engine.name not in need.excluded]
        hops: list[Hop] = []
        layer = 0
        while layer < need.model.layer_count:
            engine = self._choose_stage(usable, layer, need.keep)
            if engine is None:
                return None
            last = engine.layers.last
            hops.append(Hop(engine.name, engine.address, LayerRange(layer, last)))
            layer = last + 1
        return Chain(need.model.name, need.model.version, tuple(hops))

    def start(self, chain: Chain) -> None:
        """Count an attempt that begins on a chain."""
        for name in chain.upstreams:
            self._running[name] = self._running.get(name, 0) + 1

    def finish(self, chain: Chain) -> None:
        """Count an attempt that ended on a chain."""
        for name in chain.upstreams:
            self._running[name] -= 1

    def merge_load(self, event: LoadReported, now: float) -> None:
        """Take in an engine's load report."""

    def merge_cache(self, event: CacheChanged, now: float) -> None:
        """Take in a cache event; a gap makes the engine's cache unknown."""

    def _choose_stage(
        self, engines: list[Engine], layer: int, keep: Chain | None
    ) -> Engine | None:
        kept = keep.upstreams if keep is not None else ()
        best: Engine | None = None
        best_cost = (True, 0.0, 0.0)
        for engine in engines:
            if not engine.layers.first <= layer <= engine.layers.last:
                continue
            running = self._running.get(engine.name, 0)
            cost = (running + 1) / engine.layer_tokens_per_second
            key = (engine.name not in kept, cost, self._random.random())
            if best is None or key < best_cost:
                best, best_cost = engine, key
        return best
