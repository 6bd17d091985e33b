"""Search for the cheapest path through a model's layers, by load, memory and links."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import AcceleratorKind, EngineProfile
from tarragonrudder.core.forwarding.layer_cover import (
    MAX_HOPS,
    Candidate,
    Stage,
    find_cover,
)
from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.selection.slowness import SlownessTracker

HOP_SECONDS = 0.0004  # delay that a stage adds to each token, within a data centre
JITTER = 0.1  # random part of a cost, so that nodes don't all choose the same path
# Costs are in seconds of a caller's time.
# Cost of using the last free memory of all layers: about the duration of a usual
# request, as the next request would have to wait that long.
MEMORY_WEIGHT = 4.0
# Cost of a full stage: more than any detour through other stages.
FULL_PENALTY = 20.0
# Cost of crossing the shared link between two data centres, in transfers of one
# request's tokens. Prompts queue on the link: a few crossings a second saturate it,
# while each stage has capacity for tens of requests. A crossing pays only where the
# data centre's own path is lost or full.
CROSSING_WEIGHT = 60.0
# Cost of a stage that named a limit: an upstream in need is spared while others have
# room.
LIMITED_PENALTY = 0.3
# Penalty for slowness from which on an engine is spared: more than chance makes of it.
SPARED_PENALTY = 1.25
# Counted part of a stage's memory above which it is full. It may exceed 1, as
# requests are counted with their whole answers, of which half is written on average.
FULL_THRESHOLD = 1.05


@dataclass(frozen=True, slots=True)
class ResourceDemand:
    """Resources that a request needs from a path.

    Attributes
    ----------
    prompt_tokens, answer_tokens : int
        Tokens to prefill, and tokens expected to be generated.
    data_center : str
        Data centre of this node.
    first_upstream : str or None
        Upstream that must run the first stage.
    held_share : float
        Part of each stage's room that is left to more urgent requests.
    reserved_tokens : int or None
        Tokens of the answer for which memory must be free; None for the expected.
    """

    prompt_tokens: int
    answer_tokens: int
    data_center: str
    first_upstream: str | None = None
    held_share: float = 0.0
    reserved_tokens: int | None = None

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache for which memory must be free."""
        reserved = self.reserved_tokens
        return self.prompt_tokens + (
            self.answer_tokens if reserved is None else reserved
        )


@dataclass(frozen=True, slots=True)
class Path:
    """Stages that together run every layer once, in order.

    Attributes
    ----------
    cost : float
        Expected seconds of the whole request, with penalties for full stages.
    has_capacity : bool
        Whether each stage has memory for the request.
    token_time : float
        Seconds per token without other load.
    links : tuple of str
        Keys of the links between data centres that it crosses.
    """

    service: str
    stages: tuple[Stage, ...]
    cost: float
    has_capacity: bool
    token_time: float
    links: tuple[str, ...]

    @property
    def hops(self) -> tuple[Hop, ...]:
        """The stages as sent to upstreams."""
        return tuple(stage.hop for stage in self.stages)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the upstreams, in order."""
        return tuple(stage.hop.upstream for stage in self.stages)

    def describe(self) -> str:
        """Return a short text for logs, such as ``a:0-3 b:4-7``."""
        parts = []
        for stage in self.stages:
            layers = stage.hop.layers
            parts.append(f"{stage.hop.upstream}:{layers.first}-{layers.last}")
        return " ".join(parts)


class PathFinder:
    """Finds paths for one model service.

    Load pattern: under light load each data centre serves its own requests, so
    that the links between them stay free for recovery. In a burst, or after a
    loss, work moves to stages with free memory and compute time, in another data
    centre if necessary.
    """

    def __init__(
        self,
        service: str,
        profile: EngineProfile,
        usage_tracker: UsageTracker,
        slowness: SlownessTracker,
        limits: UpstreamLimits,
        source: random.Random,
    ) -> None:
        self._service = service
        self._slowness = slowness
        self._limits = limits
        self._profile = profile
        self._usage_tracker = usage_tracker
        self._random = source

    def find(
        self, engines: t.Iterable[Registration], demand: ResourceDemand
    ) -> Path | None:
        """Return the cheapest path over `engines`, None if there is none."""
        whole = LayerRange(0, self._profile.layer_count - 1)
        stages = self._cover(engines, whole, demand.data_center, demand)
        if not stages:
            return None
        return self._make_path(stages)

    def find_detour(
        self,
        engines: t.Iterable[Registration],
        path: Path,
        replaced: t.Container[str],
        demand: ResourceDemand,
    ) -> Path | None:
        """Return `path` with other engines for some stages, None if impossible.

        The other stages keep their layers, and with them the request's KV cache.

        Parameters
        ----------
        replaced : container of str
            Names of the upstreams to bypass.
        """
        unused = [engine for engine in engines if engine.name not in path.names]
        stages: list[Stage] = []
        data_center = demand.data_center
        for stage in path.stages:
            if stage.hop.upstream not in replaced:
                stages.append(stage)
                data_center = stage.data_center
                continue
            found = self._cover(unused, stage.hop.layers, data_center, demand)
            if not found:
                return None
            names = {each.hop.upstream for each in found}
            unused = [engine for engine in unused if engine.name not in names]
            stages.extend(found)
            data_center = found[-1].data_center
        if len(stages) > MAX_HOPS:
            return None
        return self._make_path(stages)

    def measure_utilization(self, engine: Registration) -> float:
        """Return the larger of an engine's memory and slot utilization, as counted."""
        kind = self._profile.kinds.get(engine.kind)
        if kind is None or engine.layers is None:
            return 0.0
        capacity = measure_capacity(self._profile, kind, len(engine.layers))
        usage = self._usage_tracker.measure(engine.name)
        slots = max(1, engine.slots)
        return max(usage.tokens / max(1.0, capacity), usage.requests / slots)

    def _cover(
        self,
        engines: t.Iterable[Registration],
        layers: LayerRange,
        data_center: str,
        demand: ResourceDemand,
    ) -> list[Stage]:
        """Return the cheapest stages that run `layers` once, in order."""
        crossings: dict[tuple[str, str], float] = {}

        def compute_crossing_cost(before: str, after: str, layer: int) -> float:
            if layer == 0:
                # The first stage receives only the request, and no activations.
                return self._profile.link_delay
            found = crossings.get((before, after))
            if found is None:
                found = self._compute_crossing_cost(before, after, demand)
                crossings[before, after] = found
            return found

        return find_cover(
            self._collect_candidates(engines, demand),
            layers,
            data_center,
            demand.first_upstream,
            compute_crossing_cost,
            self._random,
        )

    def _make_path(self, stages: t.Sequence[Stage]) -> Path:
        token_time = 0.0
        links = []
        data_center = stages[0].data_center
        for stage in stages:
            share = len(stage.hop.layers) / self._profile.layer_count
            token_time += HOP_SECONDS
            token_time += share * self._profile.step_time * stage.candidate.step_factor
            if stage.data_center != data_center:
                links.append(make_link_key(data_center, stage.data_center))
                data_center = stage.data_center
        return Path(
            service=self._service,
            stages=tuple(stages),
            cost=sum(stage.cost for stage in stages),
            has_capacity=all(stage.candidate.has_capacity for stage in stages),
            token_time=token_time,
            links=tuple(links),
        )

    def _collect_candidates(
        self, engines: t.Iterable[Registration], demand: ResourceDemand
    ) -> list[Candidate]:
        candidates = []
        holdings: dict[tuple[str, int], _Holding | None] = {}
        for engine in engines:
            layers = engine.layers
            if layers is None or not self._profile.has_layers(layers):
                continue
            key = (engine.kind, layers.last - layers.first)
            if key not in holdings:
                holdings[key] = self._make_holding(engine.kind, layers, demand)
            holding = holdings[key]
            if holding is not None:
                candidates.append(self._make_candidate(engine, layers, holding, demand))
        return candidates

    def _make_holding(
        self, kind_name: str, layers: LayerRange, demand: ResourceDemand
    ) -> "_Holding | None":
        """Return what engines of a kind with as many layers share; None if unknown."""
        kind = self._profile.kinds.get(kind_name)
        if kind is None:
            return None
        profile = self._profile
        prefill_time = demand.prompt_tokens / profile.prefill_rate * kind.prefill_factor
        decode_time = demand.answer_tokens * profile.step_time * kind.step_factor
        batch_time = (
            demand.answer_tokens * profile.step_time_per_request * kind.step_factor
        )
        capacity = measure_capacity(profile, kind, len(layers))
        return _Holding(
            layer_time=(prefill_time + decode_time) / profile.layer_count,
            batch_time=batch_time / profile.layer_count,
            full_tokens=max(1.0, FULL_THRESHOLD * (1.0 - demand.held_share) * capacity),
            memory_cost=MEMORY_WEIGHT * len(layers) / profile.layer_count,
            step_factor=kind.step_factor,
        )

    def _make_candidate(
        self,
        engine: Registration,
        layers: LayerRange,
        holding: "_Holding",
        demand: ResourceDemand,
    ) -> Candidate:
        """Return a stage with its fixed cost and its cost per layer for a request."""
        requests, held_tokens = self._usage_tracker.count(engine.name)
        latency = 1.0 + JITTER * self._random.random()
        penalty = self._slowness.penalty(engine.name)
        latency *= penalty
        is_limited = len(self._limits) > 0 and engine.incarnation in self._limits
        tokens = held_tokens + demand.held_tokens
        fill_ratio = tokens / holding.full_tokens
        has_capacity = fill_ratio <= 1.0
        fixed_cost = latency * HOP_SECONDS * demand.answer_tokens
        if has_capacity:
            fixed_cost += holding.memory_cost * fill_ratio * fill_ratio
        else:
            fixed_cost += holding.memory_cost + FULL_PENALTY * fill_ratio
        if is_limited:
            fixed_cost += LIMITED_PENALTY
        return Candidate(
            engine.name,
            engine.address,
            engine.data_center,
            layers,
            fixed_cost,
            latency * (holding.layer_time + holding.batch_time * requests),
            has_capacity,
            holding.step_factor,
            is_limited or penalty > SPARED_PENALTY,
        )

    def _compute_crossing_cost(
        self, before: str, after: str, demand: ResourceDemand
    ) -> float:
        profile = self._profile
        link = make_link_key(before, after)
        moved = (demand.prompt_tokens + demand.answer_tokens) * profile.activation_bytes
        transfer = moved / max(1.0, profile.link_rate)
        # Prompts cross the link one after another.
        transfer *= 1.0 + self._usage_tracker.measure(link).requests
        delay = demand.answer_tokens * profile.link_delay
        cost = CROSSING_WEIGHT * transfer + delay
        return cost * self._slowness.penalty(link)


def make_relay_path(service: str, peer: Registration) -> Path:
    """Return a path whose only stage is another node, which chooses the upstreams."""
    hop = Hop(peer.name, peer.address, LayerRange(0, 0))
    candidate = Candidate(
        name=peer.name,
        address=peer.address,
        data_center=peer.data_center,
        layers=hop.layers,
        fixed_cost=0.0,
        cost_per_layer=0.0,
        has_capacity=True,
        step_factor=1.0,
    )
    return Path(
        service=service,
        stages=(Stage(hop, peer.data_center, 0.0, candidate),),
        cost=0.0,
        has_capacity=True,
        token_time=HOP_SECONDS,
        links=(),
    )


def make_link_key(before: str, after: str) -> str:
    """Return the key under which the load of a link is counted."""
    return f"link:{before}:{after}"


def measure_capacity(
    profile: EngineProfile, kind: AcceleratorKind, layers: int
) -> float:
    """Return the tokens of KV cache that fit in memory next to `layers` layers."""
    free_bytes = kind.memory - layers * profile.layer_bytes
    return max(0.0, free_bytes / (profile.token_bytes / profile.layer_count * layers))


@dataclass(frozen=True, slots=True)
class _Holding:
    """What engines of one kind that hold equally many layers share in a search.

    Attributes
    ----------
    layer_time, batch_time : float
        Seconds that the request takes in each layer: alone, and more for each other
        request that runs there.
    full_tokens : float
        Tokens of KV cache from which on such an engine is full.
    memory_cost : float
        Cost of using the last free memory.
    """

    layer_time: float
    batch_time: float
    full_tokens: float
    memory_cost: float
    step_factor: float
