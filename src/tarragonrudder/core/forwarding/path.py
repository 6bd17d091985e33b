"""Cheapest path through the layers of a model, by load, memory and links."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import AcceleratorKind, EngineProfile
from tarragonrudder.core.forwarding.ledger import Ledger
from tarragonrudder.core.forwarding.roster import Registration
from tarragonrudder.core.selection.slowness import Slowness

HOP_SECONDS = 0.0004  # a stage's part in the delay of one token, within a zone
MAX_HOPS = 32  # an engine refuses a longer path
SPREAD = 0.1  # random share of a cost, so that nodes do not all choose alike
# Costs are stated in seconds of a caller's time.
# Seconds that the last free memory of all layers is worth: about what a usual
# request takes, as the next one would have to wait for so long.
MEMORY_WEIGHT = 4.0
# Seconds that a full stage adds: more than any detour through other stages.
FULL_PENALTY = 20.0
# Prompts wait for one another on the link that all share between two data
# centres. A few crossings a second fill it, while each stage has room for tens
# of requests: a crossing pays only where a data centre's own path is lost or full.
# In transfers of one request's tokens.
CROSSING_WEIGHT = 60.0
# Of a stage's memory, as counted: requests are counted with their whole answers,
# of which half is written on average.
FULL_SHARE = 1.05


@dataclass(frozen=True, slots=True)
class Demand:
    """What a path is wanted for.

    Attributes
    ----------
    prompt_tokens, answer_tokens : int
        Tokens to be read first, and expected to be written.
    data_center : str
        Where the node is.
    first : str or None
        Upstream that the path must begin with.
    """

    prompt_tokens: int
    answer_tokens: int
    data_center: str
    first: str | None = None


@dataclass(frozen=True, slots=True)
class Path:
    """Stages that run every layer once, in order.

    Attributes
    ----------
    cost : float
        Expected seconds of the whole request, with penalties for full stages.
    has_room : bool
        Whether each stage has memory for the request.
    token_time : float
        Seconds that a token takes while nothing else runs.
    links : tuple of str
        Links between data centres that it crosses.
    """

    service: str
    stages: tuple["_Stage", ...]
    cost: float
    has_room: bool
    token_time: float
    links: tuple[str, ...]

    @property
    def hops(self) -> tuple[Hop, ...]:
        """The stages as upstreams are told of them."""
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

    Load pattern: a calm load is spread by data centre, so that links between
    them stay free for repairs; in a burst, or after a loss, work moves to
    stages that have memory and time left, in another data centre if need be.
    """

    def __init__(
        self,
        service: str,
        profile: EngineProfile,
        ledger: Ledger,
        slowness: Slowness,
        source: random.Random,
    ) -> None:
        self._service = service
        self._slowness = slowness
        self._profile = profile
        self._ledger = ledger
        self._random = source

    def find(self, engines: t.Iterable[Registration], demand: Demand) -> Path | None:
        """Return the cheapest path over `engines`, or None if there is none."""
        whole = LayerRange(0, self._profile.layer_count - 1)
        stages = self._cover(engines, whole, demand.data_center, demand)
        if not stages:
            return None
        return self._make_path(stages)

    def find_detour(
        self,
        engines: t.Iterable[Registration],
        path: Path,
        around: t.Container[str],
        demand: Demand,
    ) -> Path | None:
        """Return a path that replaces some stages of another, None if it can't.

        The other stages keep their layers, and with them their memory of the
        request.
        """
        spare = [engine for engine in engines if engine.name not in path.names]
        stages: list[_Stage] = []
        place = demand.data_center
        for stage in path.stages:
            if stage.hop.upstream not in around:
                stages.append(stage)
                place = stage.data_center
                continue
            found = self._cover(spare, stage.hop.layers, place, demand)
            if not found:
                return None
            names = {each.hop.upstream for each in found}
            spare = [engine for engine in spare if engine.name not in names]
            stages.extend(found)
            place = found[-1].data_center
        if len(stages) > MAX_HOPS:
            return None
        return self._make_path(stages)

    def measure_fill(self, engine: Registration) -> float:
        """Return the part of an engine's memory or slots in use, as counted."""
        kind = self._profile.kinds.get(engine.kind)
        if kind is None or engine.layers is None:
            return 0.0
        capacity = measure_capacity(self._profile, kind, len(engine.layers))
        usage = self._ledger.measure(engine.name)
        slots = max(1, engine.slots)
        return max(usage.tokens / max(1.0, capacity), usage.requests / slots)

    def _cover(
        self,
        engines: t.Iterable[Registration],
        layers: LayerRange,
        place: str,
        demand: Demand,
    ) -> list["_Stage"]:
        """Return the cheapest stages that run `layers` once, in order."""
        end = layers.last + 1
        offers = self._collect_offers(engines, demand)
        cuts = {layers.first, end}
        for offer in offers:
            cuts.update((offer.layers.first, offer.layers.last + 1))
        # Best way to each layer and data centre.
        best: dict[tuple[int, str], _Step] = {(layers.first, place): _Step(0.0)}
        for cut in sorted(cut for cut in cuts if layers.first <= cut < end):
            here = [offer for offer in offers if _holds(offer, cut)]
            reached = [(key, step) for key, step in best.items() if key[0] == cut]
            for key, step in reached:
                if step.hops >= MAX_HOPS:
                    continue
                for offer in here:
                    if cut == 0 and demand.first not in (None, offer.name):
                        continue
                    self._extend(best, key, step, offer, end, demand)
        finals = [step for key, step in best.items() if key[0] == end]
        if not finals:
            return []
        return _walk_back(best, min(finals, key=lambda step: step.cost))

    def _extend(
        self,
        best: dict[tuple[int, str], "_Step"],
        key: tuple[int, str],
        step: "_Step",
        offer: "_Offer",
        end: int,
        demand: Demand,
    ) -> None:
        cut, place = key
        after = min(offer.layers.last + 1, end)
        cost = step.cost + offer.fixed + offer.per_layer * (after - cut)
        if offer.data_center != place:
            # Reaching the first stage moves only the request itself.
            cost += self._price_crossing(place, offer.data_center, demand, cut)
        reached = (after, offer.data_center)
        known = best.get(reached)
        if known is not None and known.cost <= cost:
            return
        hop = Hop(offer.name, offer.address, LayerRange(cut, after - 1))
        stage = _Stage(hop, offer.data_center, cost - step.cost, offer)
        best[reached] = _Step(cost, step.hops + 1, key, stage)

    def _make_path(self, stages: t.Sequence["_Stage"]) -> Path:
        token_time = 0.0
        links = []
        place = stages[0].data_center
        for stage in stages:
            share = len(stage.hop.layers) / self._profile.layer_count
            token_time += HOP_SECONDS
            token_time += share * self._profile.step_time * stage.offer.step_factor
            if stage.data_center != place:
                links.append(name_link(place, stage.data_center))
                place = stage.data_center
        return Path(
            service=self._service,
            stages=tuple(stages),
            cost=sum(stage.cost for stage in stages),
            has_room=all(stage.offer.has_room for stage in stages),
            token_time=token_time,
            links=tuple(links),
        )

    def _collect_offers(
        self, engines: t.Iterable[Registration], demand: Demand
    ) -> list["_Offer"]:
        offers = []
        for engine in engines:
            kind = self._profile.kinds.get(engine.kind)
            if kind is not None and engine.layers is not None:
                offers.append(self._make_offer(engine, engine.layers, kind, demand))
        return offers

    def _make_offer(
        self,
        engine: Registration,
        layers: LayerRange,
        kind: AcceleratorKind,
        demand: Demand,
    ) -> "_Offer":
        """Return what a request costs on a stage: at all, and for each layer."""
        profile = self._profile
        usage = self._ledger.measure(engine.name)
        step = profile.step_time + profile.step_time_per_request * usage.requests
        read = demand.prompt_tokens / profile.prefill_rate * kind.prefill_factor
        write = demand.answer_tokens * step * kind.step_factor
        spread = 1.0 + SPREAD * self._random.random()
        latency = spread * self._slowness.penalty(engine.name)
        tokens = usage.tokens + demand.prompt_tokens + demand.answer_tokens
        capacity = measure_capacity(profile, kind, len(layers))
        filled = tokens / max(1.0, FULL_SHARE * capacity)
        share = len(layers) / profile.layer_count
        fixed = latency * HOP_SECONDS * demand.answer_tokens
        fixed += MEMORY_WEIGHT * share * min(1.0, filled) ** 2
        if filled > 1.0:
            fixed += FULL_PENALTY * filled
        return _Offer(
            name=engine.name,
            address=engine.address,
            data_center=engine.data_center,
            layers=layers,
            fixed=fixed,
            per_layer=latency * (read + write) / profile.layer_count,
            has_room=filled <= 1.0,
            step_factor=kind.step_factor,
        )

    def _price_crossing(
        self, before: str, after: str, demand: Demand, cut: int
    ) -> float:
        if cut == 0:
            return self._profile.link_delay
        profile = self._profile
        link = name_link(before, after)
        moved = (demand.prompt_tokens + demand.answer_tokens) * profile.activation_bytes
        transfer = moved / max(1.0, profile.link_rate)
        # Prompts cross one after another.
        transfer *= 1.0 + self._ledger.measure(link).requests
        delay = demand.answer_tokens * profile.link_delay
        cost = CROSSING_WEIGHT * transfer + delay
        return cost * self._slowness.penalty(link)


def name_link(before: str, after: str) -> str:
    """Return the name under which use of a link is counted."""
    return f"link:{before}:{after}"


def _holds(offer: "_Offer", layer: int) -> bool:
    return offer.layers.first <= layer <= offer.layers.last


def _walk_back(
    best: t.Mapping[tuple[int, str], "_Step"], last: "_Step"
) -> list["_Stage"]:
    stages: list[_Stage] = []
    step = last
    while step.stage is not None and step.before is not None:
        stages.append(step.stage)
        step = best[step.before]
    stages.reverse()
    return stages


def measure_capacity(
    profile: EngineProfile, kind: AcceleratorKind, layers: int
) -> float:
    """Return the tokens of KV cache that fit beside `layers` layers."""
    room = kind.memory - layers * profile.layer_bytes
    return max(0.0, room / (profile.token_bytes / profile.layer_count * layers))


@dataclass(frozen=True, slots=True)
class _Offer:
    """A stage that a request may use, and what that costs."""

    name: str
    address: str
    data_center: str
    layers: LayerRange
    fixed: float
    per_layer: float
    has_room: bool
    step_factor: float


@dataclass(frozen=True, slots=True)
class _Stage:
    """A stage that a path uses."""

    hop: Hop
    data_center: str
    cost: float
    offer: _Offer


@dataclass(frozen=True, slots=True)
class _Step:
    """The best way to some layer in some data centre."""

    cost: float
    hops: int = 0
    before: tuple[int, str] | None = None
    stage: _Stage | None = None
