"""Max-min fair allocation of the engines' speed to segments of a model's layers."""

import typing as t
from dataclasses import dataclass

import networkx as nx

from tarragonrudder.core.domain.fleet import Engine, LayerRange

FLOW_SCALE = 1000  # flows are integers, in thousandths of a token (or layer) per second
MAX_NEWTON_STEPS = 50
FITTING_STEPS = 300
FITTING_ERROR = 0.005  # relative error that a fitted sum may have
_SOURCE = "source"
_SINK = "sink"


@dataclass(frozen=True, slots=True)
class Share:
    """Tokens per second that an engine runs in one segment."""

    engine: Engine
    rate: float


Allocation: t.TypeAlias = tuple[tuple[Share, ...], ...]


def find_min_pass_time(
    segments: tuple[LayerRange, ...], engines: t.Sequence[Engine]
) -> float:
    """Return the least seconds that one token takes through all layers."""
    total = 0.0
    for segment in segments:
        speeds = [
            engine.layer_tokens_per_second
            for engine in engines
            if engine.layers.contains(segment)
        ]
        total += len(segment) / max(speeds)
    return total


def allocate_speed(
    segments: tuple[LayerRange, ...], engines: t.Sequence[Engine], min_pass_time: float
) -> tuple[float, Allocation]:
    """Allocate the engines' speed so that the slowest segments are as fast as possible.

    Progressive filling: the set of segments that limits the common rate is
    settled first. The remaining speed is then allocated to the other segments
    in the same way, so that engines of equal speed are equally busy.

    Returns
    -------
    tuple of float and Allocation
        The rate of the most limited segments in tokens per second, and the
        shares of each segment. If any segment gets no rate, the rate is 0.0
        and all shares are empty.
    """
    remaining_speed = {
        engine.name: engine.layer_tokens_per_second for engine in engines
    }
    unsettled = list(range(len(segments)))
    settled: dict[int, tuple[Share, ...]] = {}
    bound = 0.0
    while unsettled:
        network = _Network(segments, unsettled, engines, remaining_speed, min_pass_time)
        rate, limiting = network.solve()
        if not settled:
            bound = rate
        if rate <= 0.0:
            return 0.0, tuple(() for _ in segments)
        shares_by_segment = network.read_shares(limiting, rate)
        for index, shares in shares_by_segment.items():
            for share in shares:
                used = share.rate * len(segments[index])
                remaining_speed[share.engine.name] = max(
                    0.0, remaining_speed[share.engine.name] - used
                )
            settled[index] = shares
        unsettled = [index for index in unsettled if index not in limiting]
    return bound, tuple(settled[index] for index in range(len(segments)))


class _Network:
    """Flow network from engines to segments at a common rate of tokens."""

    def __init__(
        self,
        segments: tuple[LayerRange, ...],
        indexes: list[int],
        engines: t.Sequence[Engine],
        remaining_speed: t.Mapping[str, float],
        min_pass_time: float,
    ) -> None:
        self._segments = segments
        self._indexes = indexes
        self._engines = {engine.name: engine for engine in engines}
        self._flow: dict[t.Any, dict[t.Any, int]] = {}
        self._graph = nx.DiGraph()
        for engine in engines:
            speed = int(remaining_speed[engine.name] * FLOW_SCALE)
            self._graph.add_edge(_SOURCE, engine.name, capacity=speed)
            # Little's law: each token of a batch takes at least the minimum pass time.
            max_token_rate = engine.batch_limit / min_pass_time
            for index in indexes:
                if not engine.layers.contains(segments[index]):
                    continue
                capacity = int(max_token_rate * len(segments[index]) * FLOW_SCALE)
                self._graph.add_edge(engine.name, index, capacity=capacity)

    def solve(self) -> tuple[float, frozenset[int]]:
        """Return the largest common rate and the segments that limit it.

        Newton's method for parametric flow: each step takes the minimum cut for
        a rate that is too large and lowers the rate to what that cut can carry.
        """
        length = sum(len(self._segments[index]) for index in self._indexes)
        speed = sum(
            data["capacity"] for _, _, data in self._graph.out_edges(_SOURCE, data=True)
        )
        rate = speed / length
        limiting = frozenset(self._indexes)
        for _ in range(MAX_NEWTON_STEPS):
            demand = self._set_demand(rate)
            value, partition = nx.minimum_cut(self._graph, _SOURCE, _SINK)
            if value >= demand:
                break
            sink_side = frozenset(
                index for index in self._indexes if index in partition[1]
            )
            if not sink_side:
                break
            other_demand = demand - self._sum_demand(sink_side, rate)
            cut_capacity = value - other_demand
            limiting = sink_side
            rate = cut_capacity / sum(len(self._segments[index]) for index in sink_side)
        self._set_demand(rate)
        _, self._flow = nx.maximum_flow(self._graph, _SOURCE, _SINK)
        return rate / FLOW_SCALE, limiting

    def read_shares(
        self, indexes: frozenset[int], rate: float
    ) -> dict[int, tuple[Share, ...]]:
        """Return each engine's share of the segments at the solved rate.

        The maximum flow is not unique. Iterative proportional fitting (Deming
        and Stephan, 1940) moves it towards one in which an engine runs all of
        its segments at one rate, so that tokens seldom change engines within
        an engine's range.
        """
        flows = self._read_flows(indexes)
        fitted = self._fit_flows(flows, rate)
        if not self._is_feasible(fitted, flows):
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
                    row[index] = flow / FLOW_SCALE
            if sum(row.values()) > 0.0:
                flows[name] = row
        return flows

    def _fit_flows(
        self, flows: dict[str, dict[int, float]], rate: float
    ) -> dict[str, dict[int, float]]:
        """Return layer tokens per second, evened out, with the sums of `flows`."""
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

    def _is_feasible(
        self,
        fitted: dict[str, dict[int, float]],
        flows: dict[str, dict[int, float]],
    ) -> bool:
        """Tell whether a fit keeps the batch limits and the sums of the segments."""
        totals: dict[int, list[float]] = {}
        for name, row in fitted.items():
            for index, value in row.items():
                limit = self._graph[name][index]["capacity"] / FLOW_SCALE
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
