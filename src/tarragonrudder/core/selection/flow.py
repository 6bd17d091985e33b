"""Throughput bound of a fleet, as a maximum flow of tokens per second.

A model's layers are split into segments wherever an engine's range starts or
ends. For each token, one engine runs a segment, and an engine spends its speed
on the segments that it holds. The allocation of that speed is a flow from
engines to segments; the routing between data centres is a flow through
(segment, data centre) pairs whose arcs are the links.
"""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.fleet import Engine, LayerRange, Link, Model
from tarragonrudder.core.selection.allocation import (
    Allocation,
    Share,
    allocate_speed,
    find_min_pass_time,
)
from tarragonrudder.core.selection.routing import (
    NEAR_OPTIMAL,
    CenterFlow,
    find_center_capacities,
    find_link_rates,
    fit_shares,
    route,
    route_balanced,
)

# Share of a link's capacity that a plan uses, unless the bound needs more.
LINK_UTILIZATION = 0.7


@dataclass(frozen=True, slots=True)
class Plan:
    """How a model's tokens are spread over its engines at full load.

    Attributes
    ----------
    bound : float
        Tokens per second that no choice of chains can exceed.
    planned : float
        Tokens per second that `shares` and `center_flows` carry; less than
        `bound` where links limit this allocation.
    segments : tuple of LayerRange
        The layers between two successive boundaries, in order.
    shares : tuple of tuple of Share
        For each segment, the tokens per second that each engine runs.
    center_flows : tuple of tuple of CenterFlow
        For each boundary between two segments, the tokens per second between
        data centres.
    """

    bound: float
    planned: float
    segments: tuple[LayerRange, ...]
    shares: tuple[tuple[Share, ...], ...]
    center_flows: tuple[tuple[CenterFlow, ...], ...]


EMPTY_PLAN = Plan(0.0, 0.0, (), (), ())


def compute_plan(
    model: Model, engines: t.Sequence[Engine], links: t.Sequence[Link]
) -> Plan:
    """Compute a model's throughput bound and a plan that approaches it.

    Parameters
    ----------
    engines : sequence of Engine
        Engines that may be used; those of other models are ignored.
    links : sequence of Link
        Links between data centres; a pair without a link is not limited.
    """
    model_engines = [
        engine
        for engine in engines
        if (engine.model, engine.version) == (model.name, model.version)
    ]
    segments = split_layers(model, model_engines)
    for segment in segments:
        if not any(engine.layers.contains(segment) for engine in model_engines):
            return EMPTY_PLAN
    planner = _FleetPlanner(
        model, tuple(model_engines), segments, find_link_rates(model, links)
    )
    plan = planner.plan_globally()
    if plan.planned >= NEAR_OPTIMAL * plan.bound:
        return plan
    bound = min(plan.bound, planner.bound_by_centers())
    by_center = planner.plan_by_center(bound)
    best = by_center if by_center.planned > plan.planned else plan
    return replace(best, bound=bound)


@dataclass(frozen=True, slots=True)
class _FleetPlanner:
    """Plans one model over its engines and links; `rates` are tokens per second."""

    model: Model
    engines: tuple[Engine, ...]
    segments: tuple[LayerRange, ...]
    rates: dict[tuple[str, str], float]

    def plan_globally(self) -> Plan:
        """Plan over all data centres at once."""
        min_pass_time = find_min_pass_time(self.segments, self.engines)
        bound, allocation = allocate_speed(self.segments, self.engines, min_pass_time)
        if bound <= 0.0:
            none = tuple(() for _ in self.segments)
            return Plan(0.0, 0.0, self.segments, none, none[1:])
        center_capacities = find_center_capacities(
            self.segments, self.engines, min_pass_time
        )
        bound = min(bound, route(center_capacities, self.rates, cheapest=False).rate)
        reduced = {pair: LINK_UTILIZATION * rate for pair, rate in self.rates.items()}
        routing = route_balanced(allocation, (reduced, self.rates), bound)
        shares = fit_shares(allocation, routing.center_rates)
        planned = min(routing.rate, bound)
        return Plan(bound, planned, self.segments, shares, routing.center_flows)

    def bound_by_centers(self) -> float:
        """Return an upper bound: local rates of all data centres plus all links.

        A token that does not stay within one data centre crosses some link. The
        bound is infinite if a pair of data centres has no configured link.
        """
        centers = self._list_centers()
        pairs = {frozenset(pair) for pair in self.rates}
        count = len(centers) * (len(centers) - 1) // 2
        if len([pair for pair in pairs if pair <= set(centers)]) < count:
            return float("inf")
        local = sum(self._allocate_center(center)[0] for center in centers)
        between = 0.0
        for source, target in self.rates:
            if source < target and {source, target} <= set(centers):
                between += self.rates[(source, target)]
        return local + between

    def plan_by_center(self, bound: float) -> Plan:
        """Plan each data centre by itself, then the remaining speed over the links."""
        used: dict[str, float] = {}
        allocations: list[Allocation] = []
        center_flows: list[CenterFlow] = []
        total = 0.0
        for center in self._list_centers():
            rate, allocation = self._allocate_center(center)
            if rate <= 0.0:
                continue
            scaled = fit_shares(allocation, [{center: rate} for _ in self.segments])
            allocations.append(scaled)
            center_flows.append(CenterFlow(center, center, rate))
            total += rate
            for segment, shares in zip(self.segments, scaled, strict=True):
                for share in shares:
                    work = share.rate * len(segment)
                    used[share.engine.name] = used.get(share.engine.name, 0.0) + work
        remaining = self._plan_remaining(used)
        allocations.append(remaining.shares)
        shares = _sum_allocations(allocations, self.engines)
        boundaries = []
        for boundary in remaining.center_flows:
            boundaries.append(_sum_center_flows([*center_flows, *boundary]))
        planned = min(bound, total + remaining.planned)
        return Plan(bound, planned, self.segments, shares, tuple(boundaries))

    def _plan_remaining(self, used: dict[str, float]) -> Plan:
        remaining_engines = []
        for engine in self.engines:
            speed = engine.layer_tokens_per_second - used.get(engine.name, 0.0)
            remaining_engines.append(
                replace(engine, layer_tokens_per_second=max(1e-6, speed))
            )
        return replace(self, engines=tuple(remaining_engines)).plan_globally()

    def _allocate_center(self, center: str) -> tuple[float, Allocation]:
        engines = [each for each in self.engines if each.data_center == center]
        for segment in self.segments:
            if not any(engine.layers.contains(segment) for engine in engines):
                return 0.0, ()
        min_pass_time = find_min_pass_time(self.segments, engines)
        return allocate_speed(self.segments, engines, min_pass_time)

    def _list_centers(self) -> list[str]:
        return sorted({engine.data_center for engine in self.engines})


def _sum_allocations(
    allocations: t.Sequence[Allocation], engines: t.Sequence[Engine]
) -> Allocation:
    by_name = {engine.name: engine for engine in engines}
    summed = []
    for shares in zip(*allocations, strict=True):
        rates: dict[str, float] = {}
        for share in (each for group in shares for each in group):
            name = share.engine.name
            rates[name] = rates.get(name, 0.0) + share.rate
        summed.append(tuple(Share(by_name[n], rate) for n, rate in rates.items()))
    return tuple(summed)


def _sum_center_flows(center_flows: t.Sequence[CenterFlow]) -> tuple[CenterFlow, ...]:
    rates: dict[tuple[str, str], float] = {}
    for each in center_flows:
        pair = (each.source, each.target)
        rates[pair] = rates.get(pair, 0.0) + each.rate
    return tuple(CenterFlow(*pair, rate) for pair, rate in rates.items())


def split_layers(model: Model, engines: t.Sequence[Engine]) -> tuple[LayerRange, ...]:
    """Return the segments between the boundaries of the engines' ranges."""
    boundaries = {0, model.layer_count}
    for engine in engines:
        boundaries.add(min(engine.layers.first, model.layer_count))
        boundaries.add(min(engine.layers.last + 1, model.layer_count))
    ordered = sorted(boundaries)
    segments = []
    for first, end in zip(ordered, ordered[1:], strict=False):
        segments.append(LayerRange(first, end - 1))
    return tuple(segments)
