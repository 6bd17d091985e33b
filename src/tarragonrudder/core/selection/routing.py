"""Routing of tokens between data centres over links of limited capacity."""

import typing as t
from dataclasses import dataclass

import networkx as nx
from networkx.algorithms.flow import dinitz

from tarragonrudder.core.domain.fleet import Engine, LayerRange, Link, Model
from tarragonrudder.core.selection.allocation import FLOW_SCALE, Allocation, Share

UNLIMITED_RATE = 1e12  # tokens per second over a link that is not configured
# Multiples of an even share that are allowed, tried in this order.
IMBALANCE_FACTORS = (1.0, 1.2, 1.6, 2.5, 1e6)
NEAR_OPTIMAL = 0.995  # share of the bound at which a plan is accepted
_SOURCE = "source"
_SINK = "sink"


@dataclass(frozen=True, slots=True)
class CenterFlow:
    """Tokens per second from one data centre to another or to itself."""

    source: str
    target: str
    rate: float


@dataclass(frozen=True, slots=True)
class Routing:
    """Routed tokens per second.

    Attributes
    ----------
    rate : float
        Total over all data centres.
    center_rates : list of dict of str to float
        By segment and data centre.
    center_flows : tuple of tuple of CenterFlow
        By boundary between two segments.
    """

    rate: float
    center_rates: list[dict[str, float]]
    center_flows: tuple[tuple[CenterFlow, ...], ...]


def find_link_rates(
    model: Model, links: t.Sequence[Link]
) -> dict[tuple[str, str], float]:
    """Return the tokens per second of each link, in both directions."""
    rates: dict[tuple[str, str], float] = {}
    for link in links:
        rate = link.bytes_per_second / max(1, model.activation_bytes)
        rates[(link.source, link.target)] = rate
        rates[(link.target, link.source)] = rate
    return rates


def find_center_capacities(
    segments: tuple[LayerRange, ...], engines: t.Sequence[Engine], min_pass_time: float
) -> list[dict[str, float]]:
    """Return tokens per second that each data centre could run of each segment.

    Each segment is considered alone, as if its engines ran no other.
    """
    center_capacities: list[dict[str, float]] = []
    for segment in segments:
        rates: dict[str, float] = {}
        for engine in engines:
            if not engine.layers.contains(segment):
                continue
            speed = engine.layer_tokens_per_second / len(segment)
            rate = min(speed, engine.batch_limit / min_pass_time)
            rates[engine.data_center] = rates.get(engine.data_center, 0.0) + rate
        center_capacities.append(rates)
    return center_capacities


def _sum_by_center(shares: Allocation) -> list[dict[str, float]]:
    sums: list[dict[str, float]] = []
    for segment_shares in shares:
        rates: dict[str, float] = {}
        for share in segment_shares:
            center = share.engine.data_center
            rates[center] = rates.get(center, 0.0) + share.rate
        sums.append(rates)
    return sums


def _scale(allocation: Allocation, rate: float) -> Allocation:
    """Scale each segment's shares so that they sum to a rate."""
    scaled = []
    for shares in allocation:
        total = sum(share.rate for share in shares)
        factor = rate / total if total > 0 else 0.0
        scaled.append(tuple(Share(each.engine, each.rate * factor) for each in shares))
    return tuple(scaled)


def fit_shares(
    allocation: Allocation, center_rates: list[dict[str, float]]
) -> Allocation:
    """Scale the shares of each segment and data centre to the routed rate."""
    fitted = []
    totals = _sum_by_center(allocation)
    for shares, total, routed in zip(allocation, totals, center_rates, strict=True):
        segment_shares = []
        for share in shares:
            center = share.engine.data_center
            rate = share.rate * routed.get(center, 0.0) / total[center]
            segment_shares.append(Share(share.engine, rate))
        fitted.append(tuple(segment_shares))
    return tuple(fitted)


def route_balanced(
    allocation: Allocation,
    rate_sets: t.Sequence[dict[tuple[str, str], float]],
    bound: float,
) -> Routing:
    """Route the bound so that engines are as evenly loaded as the links allow.

    Where a full link prevents even shares, the shares may grow, by one step of
    `IMBALANCE_FACTORS` at a time, to use spare speed elsewhere. The sets of link
    rates are tried in order; the last one is the fallback.
    """
    even_shares = _scale(allocation, bound)
    for rates in rate_sets:
        for factor in IMBALANCE_FACTORS:
            supplies = _sum_by_center(_relax_shares(even_shares, allocation, factor))
            if route(supplies, rates, cheapest=False).rate < NEAR_OPTIMAL * bound:
                continue
            routing = _route_within_links(supplies, rates)
            if routing.rate >= NEAR_OPTIMAL * bound:
                return routing
    return _route_within_links(_sum_by_center(allocation), rate_sets[-1])


def _relax_shares(
    even_shares: Allocation,
    allocation: Allocation,
    factor: float,
) -> Allocation:
    """Return even shares times a factor, capped by the allocation."""
    allowed = []
    for even, allocated in zip(even_shares, allocation, strict=True):
        shares = []
        for one, other in zip(even, allocated, strict=True):
            shares.append(Share(one.engine, min(one.rate * factor, other.rate)))
        allowed.append(tuple(shares))
    return tuple(allowed)


def _route_within_links(
    supplies: list[dict[str, float]], rates: dict[tuple[str, str], float]
) -> Routing:
    """Route the supplies with links shared by all boundaries.

    The flow network limits a link at each boundary separately. A link whose sum
    over the boundaries exceeds its rate is scaled down, and the flow is routed
    again.
    """
    routing = route(supplies, rates, cheapest=True)
    used: dict[frozenset[str], float] = {}
    for boundary in routing.center_flows:
        for center_flow in boundary:
            pair = frozenset((center_flow.source, center_flow.target))
            used[pair] = used.get(pair, 0.0) + center_flow.rate
    limited = dict(rates)
    for (source, target), rate in rates.items():
        total = used.get(frozenset((source, target)), 0.0)
        if total > rate:
            limited[(source, target)] = rate * rate / total
    if limited == rates:
        return routing
    return route(supplies, limited, cheapest=True)


def route(
    supplies: list[dict[str, float]],
    rates: dict[tuple[str, str], float],
    cheapest: bool,
) -> Routing:
    """Route tokens through (segment, data centre) pairs.

    Each pair is split into an entry and an exit node, whose arc carries the
    pair's capacity.

    Parameters
    ----------
    cheapest : bool
        Whether to prefer few and fast links among the maximum flows.
    """
    graph = nx.DiGraph()
    last = len(supplies) - 1
    for index, supply in enumerate(supplies):
        for center, rate in supply.items():
            entry_node, exit_node = (index, center, "in"), (index, center, "out")
            graph.add_edge(
                entry_node, exit_node, capacity=int(rate * FLOW_SCALE), weight=0
            )
            if index == 0:
                graph.add_edge(_SOURCE, entry_node, weight=0)
            if index == last:
                graph.add_edge(exit_node, _SINK, weight=0)
                continue
            for target in supplies[index + 1]:
                limit = rates.get((center, target), UNLIMITED_RATE)
                weight = 0 if target == center else 1 + int(1e6 / (1.0 + limit))
                after = (index + 1, target, "in")
                if target == center:
                    graph.add_edge(exit_node, after, weight=0)
                    continue
                graph.add_edge(
                    exit_node, after, capacity=int(limit * FLOW_SCALE), weight=weight
                )
    if cheapest:
        flow = nx.max_flow_min_cost(graph, _SOURCE, _SINK)
    else:
        _, flow = nx.maximum_flow(graph, _SOURCE, _SINK, flow_func=dinitz)
    center_rates = []
    boundaries = []
    for index, supply in enumerate(supplies):
        rates_in = {}
        center_flows = []
        for center in supply:
            entry_node, exit_node = (index, center, "in"), (index, center, "out")
            rates_in[center] = flow[entry_node][exit_node] / FLOW_SCALE
            if index == last:
                continue
            for after, amount in flow[exit_node].items():
                if amount > 0:
                    center_flows.append(
                        CenterFlow(center, after[1], amount / FLOW_SCALE)
                    )
        center_rates.append(rates_in)
        if index < last:
            boundaries.append(tuple(center_flows))
    return Routing(sum(center_rates[0].values()), center_rates, tuple(boundaries))
