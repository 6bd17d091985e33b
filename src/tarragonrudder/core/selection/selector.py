"""Selection of the chain that runs an answer."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Chain, Hop
from tarragonrudder.core.domain.event import CacheChanged, LoadReported
from tarragonrudder.core.domain.fleet import (
    Configuration,
    Engine,
    LayerRange,
    Link,
    Model,
)
from tarragonrudder.core.selection.cover import cover_layers
from tarragonrudder.core.selection.load_estimator import LoadEstimator
from tarragonrudder.core.selection.plan_cache import PlanCache, make_link_key
from tarragonrudder.core.selection.prefix_index import PrefixIndex
from tarragonrudder.core.selection.sampler import Sampler
from tarragonrudder.core.selection.slowness import SlownessTracker

CANDIDATE_CHAINS = 4  # chains drawn from the plan; the least cost wins
BOTTLENECK_WEIGHT = 8.0  # of the slowest stage or link, beside the sum of all
PREFIX_DISCOUNT = 0.3  # share of the cost that a cached prefix saves
DEFAULT_LATENCY = 0.0005  # seconds over a link that is not configured
MAX_SAMPLERS = 64


@dataclass(frozen=True, slots=True)
class ChainRequirements:
    """What a chain has to satisfy.

    Attributes
    ----------
    prefix : str
        Digest of the prompt's prefix, to find engines that have it cached.
    excluded : frozenset of str
        Upstreams that must not be in the chain.
    avoided : frozenset of str
        Upstreams that are used only if there is no other chain.
    broken_chain : Chain or None
        Chain to repair; its healthy stages are kept where possible.
    """

    model: Model
    prefix: str
    excluded: frozenset[str]
    avoided: frozenset[str] = frozenset()
    broken_chain: Chain | None = None


class Selector:
    """Chooses chains and counts the node's own work in flight."""

    def __init__(
        self, data_center: str, source: random.Random, plans: PlanCache | None = None
    ) -> None:
        self._data_center = data_center
        self._random = source
        self._plans = plans if plans is not None else PlanCache()
        self._engines: dict[str, Engine] = {}
        self._links: dict[str, Link] = {}
        self._node_count = 1
        self._samplers: dict[int, Sampler] = {}
        self._load = LoadEstimator()
        self._prefixes = PrefixIndex()
        self._slowness = SlownessTracker()
        self._parts: dict[tuple[str, ...], list[str]] = {}
        self._mean_layers: dict[str, float] = {}
        self._now = 0.0

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._plans.configure(configuration)
        self._engines = {engine.name: engine for engine in configuration.engines}
        self._links = {}
        for link in configuration.links:
            self._links[make_link_key(link.source, link.target)] = link
        self._samplers.clear()
        self._mean_layers.clear()
        self._parts.clear()

    def set_node_count(self, count: int) -> None:
        """Set the number of live nodes, which share the links."""
        self._node_count = max(1, count)

    def choose(self, requirements: ChainRequirements, now: float) -> Chain | None:
        """Return a chain that covers all layers, or None if there is none.

        A few chains are drawn at random in proportion to the flow plan, and the
        one with the least estimated cost is taken. The random draw keeps nodes
        with the same information from all choosing the same idle engine.
        """
        self._now = now
        hops = self._choose_hops(
            requirements, requirements.excluded | requirements.avoided
        )
        if not hops and requirements.avoided:
            hops = self._choose_hops(requirements, requirements.excluded)
        if not hops:
            return None
        return Chain(requirements.model.name, requirements.model.version, hops)

    def start(self, chain: Chain) -> None:
        """Count an attempt that starts on a chain."""
        for hop in chain.hops:
            self._load.start(hop.upstream, len(hop.layers), self._now)
        for link in self._list_links(chain):
            self._load.start(link, 1, self._now)

    def finish(self, chain: Chain) -> None:
        """Count an attempt that ended on a chain."""
        for hop in chain.hops:
            self._load.finish(hop.upstream, len(hop.layers), self._now)
        for link in self._list_links(chain):
            self._load.finish(link, 1, self._now)

    def handle_load_report(self, event: LoadReported, now: float) -> None:
        """Update an engine's load from its report."""
        self._now = now
        self._load.handle_report(event, now)

    def handle_cache_change(self, event: CacheChanged, now: float) -> None:
        """Apply a cache event; a sequence gap clears the engine's known prefixes."""
        self._prefixes.handle_cache_change(event)

    def observe_gap(self, chain: Chain, gap: float, now: float) -> None:
        """Record the seconds between two tokens of an attempt on a chain."""
        self._now = now
        parts = self._parts.get(chain.upstreams)
        if parts is None:
            parts = [*chain.upstreams, *self._list_links(chain)]
            self._parts[chain.upstreams] = parts
        self._slowness.observe(chain, parts, gap)

    def describe(self, chain: Chain, prefix: str = "") -> dict[str, t.Any]:
        """Return the log fields that explain the choice of a chain."""
        own = [self._load.count_own(name) for name in chain.upstreams]
        others = [
            self._load.estimate_others(name, self._now) for name in chain.upstreams
        ]
        cached = [n for n in chain.upstreams if self._prefixes.holds(n, prefix)]
        return {
            "links": self._list_links(chain),
            "own_in_flight": own,
            "others_in_flight": [round(each, 1) for each in others],
            "cached_on": cached,
        }

    def _choose_hops(
        self, requirements: ChainRequirements, excluded: frozenset[str]
    ) -> tuple[Hop, ...]:
        if requirements.broken_chain is not None:
            return self._repair(requirements, requirements.broken_chain, excluded)
        sampler = self._find_sampler(requirements.model, excluded)
        best: tuple[Hop, ...] = ()
        best_cost = 0.0
        for _ in range(CANDIDATE_CHAINS):
            hops = sampler.draw(self._random)
            if not hops or any(hop.upstream in excluded for hop in hops):
                continue
            cost = self._estimate_cost(
                hops, requirements.prefix, requirements.model.activation_bytes
            )
            if not best or cost < best_cost:
                best, best_cost = hops, cost
        if best:
            return best
        whole = LayerRange(0, requirements.model.layer_count - 1)
        return self._cover(requirements.model, whole, excluded)

    def _find_sampler(self, model: Model, excluded: frozenset[str]) -> Sampler:
        slow = self._slowness.list_slow_parts(self._links, self._now)
        plan = self._plans.find(model, excluded, self._now, slow)
        sampler = self._samplers.get(id(plan))
        if sampler is not None and sampler.plan is plan:
            return sampler
        if len(self._samplers) >= MAX_SAMPLERS:
            self._samplers.clear()
        sampler = Sampler(plan)
        self._samplers[id(plan)] = sampler
        for engine in self._plans.list_engines(model):
            mean = sampler.find_mean_layers(engine.name)
            if mean > 0.0:
                self._mean_layers[engine.name] = mean
        return sampler

    def _repair(
        self,
        requirements: ChainRequirements,
        broken_chain: Chain,
        excluded: frozenset[str],
    ) -> tuple[Hop, ...]:
        """Keep a chain's healthy stages and cover the layers between them."""
        hops: list[Hop] = []
        first = 0
        end = requirements.model.layer_count
        for hop in broken_chain.hops:
            if hop.upstream in excluded or hop.upstream not in self._engines:
                continue
            if not self._engines[hop.upstream].layers.contains(hop.layers):
                continue
            if hop.layers.first > first:
                gap = LayerRange(first, hop.layers.first - 1)
                filled = self._cover(requirements.model, gap, excluded)
                if not filled:
                    return self._cover(
                        requirements.model, LayerRange(0, end - 1), excluded
                    )
                hops.extend(filled)
            hops.append(hop)
            first = hop.layers.last + 1
        if first < end:
            filled = self._cover(
                requirements.model, LayerRange(first, end - 1), excluded
            )
            if not filled:
                return self._cover(requirements.model, LayerRange(0, end - 1), excluded)
            hops.extend(filled)
        return tuple(hops)

    def _cover(
        self, model: Model, layers: LayerRange, excluded: frozenset[str]
    ) -> tuple[Hop, ...]:
        engines = [
            engine
            for engine in self._plans.list_engines(model)
            if engine.name not in excluded
        ]
        return cover_layers(engines, layers, self._estimate_stage_time, self._random)

    def _estimate_cost(
        self, hops: tuple[Hop, ...], prefix: str, bytes_per_token: int
    ) -> float:
        """Return a chain's cost: seconds per token, with extra weight on the slowest.

        Cached prefixes reduce the cost by their share of the layers.
        """
        total = 0.0
        slowest = 0.0
        cached = 0
        layers = 0
        before = ""
        for hop in hops:
            stage = self._estimate_stage_time(self._engines[hop.upstream], hop.layers)
            link = self._estimate_link_time(before, hop.upstream, bytes_per_token)
            slowest = max(slowest, stage, link)
            total += stage + link
            before = hop.upstream
            layers += len(hop.layers)
            if self._prefixes.holds(hop.upstream, prefix):
                cached += len(hop.layers)
        cost = total + BOTTLENECK_WEIGHT * slowest
        return cost * (1.0 - PREFIX_DISCOUNT * cached / max(1, layers))

    def _estimate_stage_time(self, engine: Engine, layers: LayerRange) -> float:
        """Return the seconds in which an engine runs one token of each answer."""
        name = engine.name
        mean_layers = self._mean_layers.get(name, float(len(engine.layers)))
        others = self._load.estimate_others(name, self._now) * mean_layers
        work = self._load.count_own_layers(name) + others + len(layers)
        seconds = work / engine.layer_tokens_per_second
        return seconds * self._slowness.penalty(name)

    def _estimate_link_time(
        self, before: str, after: str, bytes_per_token: int
    ) -> float:
        """Return the seconds that a token takes to the next stage."""
        name = self._find_link_key(before, after)
        if name is None:
            return 0.0
        link = self._links.get(name)
        if link is None:
            return DEFAULT_LATENCY
        # No load is reported for links: all nodes are assumed to use them alike.
        concurrent = self._load.count_own(name) * self._node_count + 1
        transfer = concurrent * bytes_per_token / link.bytes_per_second
        return (link.latency + transfer) * self._slowness.penalty(name)

    def _list_links(self, chain: Chain) -> list[str]:
        found = []
        for before, after in zip(chain.hops, chain.hops[1:], strict=False):
            link = self._find_link_key(before.upstream, after.upstream)
            if link is not None:
                found.append(link)
        return found

    def _find_link_key(self, before: str, after: str) -> str | None:
        """Return the key of the link between two stages, None within a data centre."""
        one, other = self._engines.get(before), self._engines.get(after)
        if one is None or other is None or one.data_center == other.data_center:
            return None
        return make_link_key(one.data_center, other.data_center)
