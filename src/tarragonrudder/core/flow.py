"""Throughput bound of a fleet, as a maximum flow of tokens a second.

The layers of a model are cut wherever an engine's range starts or ends. A
segment between two cuts is run by one engine for each token, and an engine
spends its speed on the segments that it holds. How engines divide their speed
is a flow from engines to segments; where tokens cross data centres is a flow
through (segment, data centre) pairs whose arcs are the links.
"""

import typing as t
from dataclasses import dataclass

import networkx as nx
from networkx.algorithms.flow import dinitz

from tarragonrudder.core.fleet import Engine, LayerRange, Link, Model

UNIT = 1000  # flows are integers of a thousandth of a token (or layer) a second
MAX_NEWTON_STEPS = 50
UNLIMITED_RATE = 1e12  # tokens per second over a link that is not configured
UNEVENNESS = (1.0, 1.2, 1.6, 2.5, 1e6)  # factors of an even share
LINK_USE = 0.7  # share of a link's capacity that is planned, where that is enough
ENOUGH = 0.995  # share of the bound at which a division is taken
FITTING_STEPS = 300
FITTING_ERROR = 0.005  # share by which a fitted sum may be off
_SOURCE = "source"
_SINK = "sink"


@dataclass(frozen=True, slots=True)
class Share:
    """Tokens per second that an engine runs in one segment."""

    engine: Engine
    rate: float


@dataclass(frozen=True, slots=True)
class Crossing:
    """Tokens per second that go from one data centre to another."""

    source: str
    target: str
    rate: float


@dataclass(frozen=True, slots=True)
class Plan:
    """How a model's tokens spread over its engines at full load.

    Attributes
    ----------
    bound : float
        Tokens per second that no choice of chains can exceed.
    planned : float
        Tokens per second that the shares and crossings below carry. It is
        smaller than `bound` where links hinder this division of speed.
    segments : tuple of LayerRange
        The layers between two cuts, in order.
    shares : tuple of tuple of Share
        For each segment, what each of its engines runs.
    crossings : tuple of tuple of Crossing
        For each boundary between two segments, what goes where.
    """

    bound: float
    planned: float
    segments: tuple[LayerRange, ...]
    shares: tuple[tuple[Share, ...], ...]
    crossings: tuple[tuple[Crossing, ...], ...]


EMPTY_PLAN = Plan(0.0, 0.0, (), (), ())


def compute_plan(
    model: Model, engines: t.Sequence[Engine], links: t.Sequence[Link]
) -> Plan:
    """Compute a model's throughput bound and a division of work that reaches it.

    Parameters
    ----------
    engines : sequence of Engine
        Engines that may be used; those of other models are left out.
    links : sequence of Link
        Links between data centres; a pair without one is not limited.
    """
    own = [
        engine
        for engine in engines
        if (engine.model, engine.version) == (model.name, model.version)
    ]
    segments = cut_layers(model, own)
    for segment in segments:
        if not any(engine.layers.contains(segment) for engine in own):
            return EMPTY_PLAN
    floor = _pass_floor(segments, own)
    compute_bound, capacities = _divide_speed(segments, own, floor)
    rates = _link_rates(model, links)
    ceilings = _sum_ceilings(segments, own, floor)
    bound = min(compute_bound, _route(ceilings, rates, cheapest=False).rate)
    reduced = {pair: LINK_USE * rate for pair, rate in rates.items()}
    routing = _route_balanced(capacities, (reduced, rates), bound)
    shares = _fit(capacities, routing.through)
    planned = min(routing.rate, bound)
    return Plan(bound, planned, segments, shares, routing.crossings)


def cut_layers(model: Model, engines: t.Sequence[Engine]) -> tuple[LayerRange, ...]:
    """Return the segments between all starts and ends of the engines' ranges."""
    cuts = {0, model.layer_count}
    for engine in engines:
        cuts.add(min(engine.layers.first, model.layer_count))
        cuts.add(min(engine.layers.last + 1, model.layer_count))
    ordered = sorted(cuts)
    segments = []
    for first, end in zip(ordered, ordered[1:], strict=False):
        segments.append(LayerRange(first, end - 1))
    return tuple(segments)


def _pass_floor(segments: tuple[LayerRange, ...], engines: t.Sequence[Engine]) -> float:
    """Return the least seconds that one token needs for all layers."""
    total = 0.0
    for segment in segments:
        speeds = [
            engine.layer_tokens_per_second
            for engine in engines
            if engine.layers.contains(segment)
        ]
        total += len(segment) / max(speeds)
    return total


def _divide_speed(
    segments: tuple[LayerRange, ...], engines: t.Sequence[Engine], floor: float
) -> tuple[float, tuple[tuple[Share, ...], ...]]:
    """Divide the engines' speed so that the scarcest segments get the most.

    The tightest set of segments is settled first; what is left of the speed
    is divided among the rest in the same way, so that engines of equal speed
    are equally busy.
    """
    left = {engine.name: engine.layer_tokens_per_second for engine in engines}
    open_segments = list(range(len(segments)))
    found: dict[int, tuple[Share, ...]] = {}
    bound = 0.0
    while open_segments:
        network = _Network(segments, open_segments, engines, left, floor)
        rate, tight = network.solve()
        if not found:
            bound = rate
        if rate <= 0.0:
            return 0.0, tuple(() for _ in segments)
        divided = network.read_shares(tight, rate)
        for index, shares in divided.items():
            for share in shares:
                used = share.rate * len(segments[index])
                left[share.engine.name] = max(0.0, left[share.engine.name] - used)
            found[index] = shares
        open_segments = [index for index in open_segments if index not in tight]
    return bound, tuple(found[index] for index in range(len(segments)))


def _scale(
    capacities: tuple[tuple[Share, ...], ...], rate: float
) -> tuple[tuple[Share, ...], ...]:
    """Scale each segment's shares so that they sum to a rate."""
    scaled = []
    for shares in capacities:
        total = sum(share.rate for share in shares)
        factor = rate / total if total > 0 else 0.0
        scaled.append(tuple(Share(each.engine, each.rate * factor) for each in shares))
    return tuple(scaled)


def _fit(
    capacities: tuple[tuple[Share, ...], ...], through: list[dict[str, float]]
) -> tuple[tuple[Share, ...], ...]:
    """Scale the shares of each segment and data centre to what is routed there."""
    fitted = []
    totals = _sum_by_center(capacities)
    for shares, total, routed in zip(capacities, totals, through, strict=True):
        of_segment = []
        for share in shares:
            center = share.engine.data_center
            rate = share.rate * routed.get(center, 0.0) / total[center]
            of_segment.append(Share(share.engine, rate))
        fitted.append(tuple(of_segment))
    return tuple(fitted)


class _Network:
    """Flow from engines to segments for a common rate of tokens."""

    def __init__(
        self,
        segments: tuple[LayerRange, ...],
        indexes: list[int],
        engines: t.Sequence[Engine],
        left: t.Mapping[str, float],
        floor: float,
    ) -> None:
        self._segments = segments
        self._indexes = indexes
        self._engines = {engine.name: engine for engine in engines}
        self._flow: dict[t.Any, dict[t.Any, int]] = {}
        self._graph = nx.DiGraph()
        for engine in engines:
            speed = int(left[engine.name] * UNIT)
            self._graph.add_edge(_SOURCE, engine.name, capacity=speed)
            slots = engine.batch_limit / floor
            for index in indexes:
                if not engine.layers.contains(segments[index]):
                    continue
                capacity = int(slots * len(segments[index]) * UNIT)
                self._graph.add_edge(engine.name, index, capacity=capacity)

    def solve(self) -> tuple[float, frozenset[int]]:
        """Return the largest common rate and the segments that limit it.

        Each step takes the minimum cut for a rate that is too large; the cut
        tells the rate at which it would be just wide enough.
        """
        length = sum(len(self._segments[index]) for index in self._indexes)
        speed = sum(
            data["capacity"] for _, _, data in self._graph.out_edges(_SOURCE, data=True)
        )
        rate = speed / length
        tight = frozenset(self._indexes)
        for _ in range(MAX_NEWTON_STEPS):
            demand = self._set_demand(rate)
            value, sides = nx.minimum_cut(self._graph, _SOURCE, _SINK)
            if value >= demand:
                break
            short = frozenset(index for index in self._indexes if index in sides[1])
            if not short:
                break
            fixed = demand - self._sum_demand(short, rate)
            width = value - fixed
            tight = short
            rate = width / sum(len(self._segments[index]) for index in short)
        self._set_demand(rate)
        _, self._flow = nx.maximum_flow(self._graph, _SOURCE, _SINK)
        return rate / UNIT, tight

    def read_shares(
        self, indexes: frozenset[int], rate: float
    ) -> dict[int, tuple[Share, ...]]:
        """Return what each engine runs of the segments at the solved rate.

        The flow is one of many. Iterative proportional fitting (Deming and
        Stephan, 1940) moves it towards engines that run all of their segments
        at one rate, so that tokens seldom change engines in mid-range.
        """
        flows = self._read_flows(indexes)
        fitted = self._fit_rows(flows, rate)
        if not self._is_allowed(fitted, flows):
            fitted = flows
        found: dict[int, tuple[Share, ...]] = {}
        for index in indexes:
            shares = []
            for name, row in fitted.items():
                if row.get(index, 0.0) > 0.0:
                    speed = row[index] / len(self._segments[index])
                    shares.append(Share(self._engines[name], speed))
            found[index] = tuple(shares)
        return found

    def _read_flows(self, indexes: frozenset[int]) -> dict[str, dict[int, float]]:
        flows: dict[str, dict[int, float]] = {}
        for name in self._engines:
            row = {}
            for index, flow in self._flow.get(name, {}).items():
                if index in indexes:
                    row[index] = flow / UNIT
            if sum(row.values()) > 0.0:
                flows[name] = row
        return flows

    def _fit_rows(
        self, flows: dict[str, dict[int, float]], rate: float
    ) -> dict[str, dict[int, float]]:
        """Return layer tokens per second with the sums of `flows`, evened out."""
        sums = {name: sum(row.values()) for name, row in flows.items()}
        fitted = {}
        for name, row in flows.items():
            length = sum(len(self._segments[index]) for index in row)
            fitted[name] = {
                index: sums[name] * len(self._segments[index]) / length for index in row
            }
        for _ in range(FITTING_STEPS):
            totals: dict[int, float] = {}
            for row in fitted.values():
                for index, value in row.items():
                    totals[index] = totals.get(index, 0.0) + value
            factors = {}
            for index, total in totals.items():
                factors[index] = rate * len(self._segments[index]) / total
            if all(abs(each - 1.0) < FITTING_ERROR / 10 for each in factors.values()):
                break
            for name, row in fitted.items():
                scaled = {index: row[index] * factors[index] for index in row}
                share = sums[name] / sum(scaled.values())
                fitted[name] = {index: scaled[index] * share for index in row}
        return fitted

    def _is_allowed(
        self,
        fitted: dict[str, dict[int, float]],
        flows: dict[str, dict[int, float]],
    ) -> bool:
        """Tell whether a fit keeps the batch limits and the segments' sums."""
        totals: dict[int, list[float]] = {}
        for name, row in fitted.items():
            for index, value in row.items():
                limit = self._graph[name][index]["capacity"] / UNIT
                if value > limit * (1.0 + FITTING_ERROR):
                    return False
                pair = totals.setdefault(index, [0.0, 0.0])
                pair[0] += value
                pair[1] += flows[name][index]
        return all(
            abs(new - old) <= FITTING_ERROR * old for new, old in totals.values()
        )

    def _set_demand(self, rate: float) -> int:
        for index in self._indexes:
            capacity = int(rate * len(self._segments[index]))
            self._graph.add_edge(index, _SINK, capacity=capacity)
        return self._sum_demand(self._indexes, rate)

    def _sum_demand(self, indexes: t.Iterable[int], rate: float) -> int:
        return sum(int(rate * len(self._segments[index])) for index in indexes)


def _link_rates(model: Model, links: t.Sequence[Link]) -> dict[tuple[str, str], float]:
    rates: dict[tuple[str, str], float] = {}
    for link in links:
        rate = link.bytes_per_second / max(1, model.activation_bytes)
        rates[(link.source, link.target)] = rate
        rates[(link.target, link.source)] = rate
    return rates


def _sum_ceilings(
    segments: tuple[LayerRange, ...], engines: t.Sequence[Engine], floor: float
) -> list[dict[str, float]]:
    """Return tokens per second by segment and data centre, each taken alone."""
    ceilings: list[dict[str, float]] = []
    for segment in segments:
        rates: dict[str, float] = {}
        for engine in engines:
            if not engine.layers.contains(segment):
                continue
            speed = engine.layer_tokens_per_second / len(segment)
            rate = min(speed, engine.batch_limit / floor)
            rates[engine.data_center] = rates.get(engine.data_center, 0.0) + rate
        ceilings.append(rates)
    return ceilings


def _sum_by_center(shares: tuple[tuple[Share, ...], ...]) -> list[dict[str, float]]:
    sums: list[dict[str, float]] = []
    for of_segment in shares:
        rates: dict[str, float] = {}
        for share in of_segment:
            center = share.engine.data_center
            rates[center] = rates.get(center, 0.0) + share.rate
        sums.append(rates)
    return sums


@dataclass(frozen=True, slots=True)
class _Routing:
    rate: float
    through: list[dict[str, float]]
    crossings: tuple[tuple[Crossing, ...], ...]


def _route_balanced(
    capacities: tuple[tuple[Share, ...], ...],
    rate_sets: t.Sequence[dict[tuple[str, str], float]],
    bound: float,
) -> _Routing:
    """Route the bound with engines of equal speed as equally busy as links allow.

    Where a full link hinders an even division, spare speed elsewhere is drawn
    on, little by little.
    """
    evenly = _scale(capacities, bound)
    for rates in rate_sets:
        for allowance in UNEVENNESS:
            supplies = _sum_by_center(_allow(evenly, capacities, allowance))
            if _route(supplies, rates, cheapest=False).rate < ENOUGH * bound:
                continue
            routing = _route_shared(supplies, rates)
            if routing.rate >= ENOUGH * bound:
                return routing
    return _route_shared(_sum_by_center(capacities), rate_sets[-1])


def _allow(
    evenly: tuple[tuple[Share, ...], ...],
    capacities: tuple[tuple[Share, ...], ...],
    allowance: float,
) -> tuple[tuple[Share, ...], ...]:
    """Return even shares that may grow by a factor, up to what each can do."""
    allowed = []
    for even, whole in zip(evenly, capacities, strict=True):
        shares = []
        for one, other in zip(even, whole, strict=True):
            shares.append(Share(one.engine, min(one.rate * allowance, other.rate)))
        allowed.append(tuple(shares))
    return tuple(allowed)


def _route_shared(
    supplies: list[dict[str, float]], rates: dict[tuple[str, str], float]
) -> _Routing:
    """Route the supplies when all boundaries share the links."""
    routing = _route(supplies, rates, cheapest=True)
    used: dict[frozenset[str], float] = {}
    for boundary in routing.crossings:
        for crossing in boundary:
            pair = frozenset((crossing.source, crossing.target))
            used[pair] = used.get(pair, 0.0) + crossing.rate
    limited = dict(rates)
    for (source, target), rate in rates.items():
        total = used.get(frozenset((source, target)), 0.0)
        if total > rate:
            limited[(source, target)] = rate * rate / total
    if limited == rates:
        return routing
    return _route(supplies, limited, cheapest=True)


def _route(
    supplies: list[dict[str, float]],
    rates: dict[tuple[str, str], float],
    cheapest: bool,
) -> _Routing:
    """Route tokens through (segment, data centre) pairs, each split in two.

    Parameters
    ----------
    cheapest : bool
        Whether to cross as few and as fast links as the flow allows.
    """
    graph = nx.DiGraph()
    last = len(supplies) - 1
    for index, supply in enumerate(supplies):
        for center, rate in supply.items():
            entry, leave = (index, center, "in"), (index, center, "out")
            graph.add_edge(entry, leave, capacity=int(rate * UNIT), weight=0)
            if index == 0:
                graph.add_edge(_SOURCE, entry, weight=0)
            if index == last:
                graph.add_edge(leave, _SINK, weight=0)
                continue
            for target in supplies[index + 1]:
                limit = rates.get((center, target), UNLIMITED_RATE)
                weight = 0 if target == center else 1 + int(1e6 / (1.0 + limit))
                after = (index + 1, target, "in")
                if target == center:
                    graph.add_edge(leave, after, weight=0)
                    continue
                graph.add_edge(leave, after, capacity=int(limit * UNIT), weight=weight)
    if cheapest:
        flow = nx.max_flow_min_cost(graph, _SOURCE, _SINK)
    else:
        _, flow = nx.maximum_flow(graph, _SOURCE, _SINK, flow_func=dinitz)
    through = []
    boundaries = []
    for index, supply in enumerate(supplies):
        rates_in = {}
        crossings = []
        for center in supply:
            entry, leave = (index, center, "in"), (index, center, "out")
            rates_in[center] = flow[entry][leave] / UNIT
            if index == last:
                continue
            for after, amount in flow[leave].items():
                if amount > 0:
                    crossings.append(Crossing(center, after[1], amount / UNIT))
        through.append(rates_in)
        if index < last:
            boundaries.append(tuple(crossings))
    return _Routing(sum(through[0].values()), through, tuple(boundaries))
