"""Search for the cheapest path through a model's layers, by load, memory and links."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import AcceleratorKind, EngineProfile
from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.selection.slowness import SlownessTracker

HOP_SECONDS = 0.0004  # delay that a stage adds to each token, within a data centre
MAX_HOPS = 32  # an engine refuses a longer path
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
    """

    prompt_tokens: int
    answer_tokens: int
    data_center: str
    first_upstream: str | None = None


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
    stages: tuple["_Stage", ...]
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
        stages: list[_Stage] = []
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
    ) -> list["_Stage"]:
        """Return the cheapest stages that run `layers` once, in order."""
        end = layers.last + 1
        candidates = self._collect_candidates(engines, demand)
        boundaries = {layers.first, end}
        for candidate in candidates:
            boundaries.update((candidate.layers.first, candidate.layers.last + 1))
        # Cheapest partial path to each layer and data centre.
        best: dict[tuple[int, str], _PartialPath] = {
            (layers.first, data_center): _PartialPath(0.0)
        }
        for layer in sorted(
            layer for layer in boundaries if layers.first <= layer < end
        ):
            here = [candidate for candidate in candidates if _holds(candidate, layer)]
            reached = [
                (key, partial) for key, partial in best.items() if key[0] == layer
            ]
            for key, partial in reached:
                if partial.hops >= MAX_HOPS:
                    continue
                for candidate in here:
                    if layer == 0 and demand.first_upstream not in (
                        None,
                        candidate.name,
                    ):
                        continue
                    self._extend(best, key, partial, candidate, end, demand)
        finals = [partial for key, partial in best.items() if key[0] == end]
        if not finals:
            return []
        return _backtrack(best, min(finals, key=lambda partial: partial.cost))

    def _extend(
        self,
        best: dict[tuple[int, str], "_PartialPath"],
        key: tuple[int, str],
        partial: "_PartialPath",
        candidate: "_Candidate",
        end: int,
        demand: ResourceDemand,
    ) -> None:
        layer, data_center = key
        after = min(candidate.layers.last + 1, end)
        cost = (
            partial.cost
            + candidate.fixed_cost
            + candidate.cost_per_layer * (after - layer)
        )
        if candidate.data_center != data_center:
            # The first stage receives only the request, and no activations.
            cost += self._compute_crossing_cost(
                data_center, candidate.data_center, demand, layer
            )
        reached = (after, candidate.data_center)
        known = best.get(reached)
        if known is not None and known.cost <= cost:
            return
        hop = Hop(candidate.name, candidate.address, LayerRange(layer, after - 1))
        stage = _Stage(hop, candidate.data_center, cost - partial.cost, candidate)
        best[reached] = _PartialPath(cost, partial.hops + 1, key, stage)

    def _make_path(self, stages: t.Sequence["_Stage"]) -> Path:
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
    ) -> list["_Candidate"]:
        candidates = []
        for engine in engines:
            kind = self._profile.kinds.get(engine.kind)
            if kind is not None and engine.layers is not None:
                candidates.append(
                    self._make_candidate(engine, engine.layers, kind, demand)
                )
        return candidates

    def _make_candidate(
        self,
        engine: Registration,
        layers: LayerRange,
        kind: AcceleratorKind,
        demand: ResourceDemand,
    ) -> "_Candidate":
        """Return a stage with its fixed cost and its cost per layer for a request."""
        profile = self._profile
        usage = self._usage_tracker.measure(engine.name)
        step = profile.step_time + profile.step_time_per_request * usage.requests
        prefill_time = demand.prompt_tokens / profile.prefill_rate * kind.prefill_factor
        decode_time = demand.answer_tokens * step * kind.step_factor
        jitter = 1.0 + JITTER * self._random.random()
        latency = jitter * self._slowness.penalty(engine.name)
        tokens = usage.tokens + demand.prompt_tokens + demand.answer_tokens
        capacity = measure_capacity(profile, kind, len(layers))
        fill_ratio = tokens / max(1.0, FULL_THRESHOLD * capacity)
        share = len(layers) / profile.layer_count
        fixed_cost = latency * HOP_SECONDS * demand.answer_tokens
        fixed_cost += MEMORY_WEIGHT * share * min(1.0, fill_ratio) ** 2
        if engine.incarnation in self._limits:
            fixed_cost += LIMITED_PENALTY
        if fill_ratio > 1.0:
            fixed_cost += FULL_PENALTY * fill_ratio
        return _Candidate(
            name=engine.name,
            address=engine.address,
            data_center=engine.data_center,
            layers=layers,
            fixed_cost=fixed_cost,
            cost_per_layer=latency * (prefill_time + decode_time) / profile.layer_count,
            has_capacity=fill_ratio <= 1.0,
            step_factor=kind.step_factor,
        )

    def _compute_crossing_cost(
        self, before: str, after: str, demand: ResourceDemand, layer: int
    ) -> float:
        if layer == 0:
            return self._profile.link_delay
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
    candidate = _Candidate(
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
        stages=(_Stage(hop, peer.data_center, 0.0, candidate),),
        cost=0.0,
        has_capacity=True,
        token_time=HOP_SECONDS,
        links=(),
    )


def make_link_key(before: str, after: str) -> str:
    """Return the key under which the load of a link is counted."""
    return f"link:{before}:{after}"


def _holds(candidate: "_Candidate", layer: int) -> bool:
    return candidate.layers.first <= layer <= candidate.layers.last


def _backtrack(
    best: t.Mapping[tuple[int, str], "_PartialPath"], last: "_PartialPath"
) -> list["_Stage"]:
    stages: list[_Stage] = []
    partial = last
    while partial.stage is not None and partial.previous is not None:
        stages.append(partial.stage)
        partial = best[partial.previous]
    stages.reverse()
    return stages


def measure_capacity(
    profile: EngineProfile, kind: AcceleratorKind, layers: int
) -> float:
    """Return the tokens of KV cache that fit in memory next to `layers` layers."""
    free_bytes = kind.memory - layers * profile.layer_bytes
    return max(0.0, free_bytes / (profile.token_bytes / profile.layer_count * layers))


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A stage that a request may use, with its costs."""

    name: str
    address: str
    data_center: str
    layers: LayerRange
    fixed_cost: float
    cost_per_layer: float
    has_capacity: bool
    step_factor: float


@dataclass(frozen=True, slots=True)
class _Stage:
    """A stage of a path."""

    hop: Hop
    data_center: str
    cost: float
    candidate: _Candidate


@dataclass(frozen=True, slots=True)
class _PartialPath:
    """The cheapest stages up to some layer, ending in some data centre."""

    cost: float
    hops: int = 0
    previous: tuple[int, str] | None = None
    stage: _Stage | None = None
