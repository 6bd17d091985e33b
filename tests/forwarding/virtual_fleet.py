"""Nodes that place streams on engines, on a virtual clock and without a network."""

import heapq
import math
import random
import typing as t
from collections import Counter
from dataclasses import dataclass, field

from tarragonrudder.core.forwarding.path import PathFinder, ResourceDemand
from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.selection.slowness import SlownessTracker
from tests.forwarding.fleet import PROFILE, make_engine

ROUND_PERIOD = 0.5  # seconds between a node's exchanges
FANOUT = 2  # peers of each exchange
MEAN_DURATION = 2.0  # seconds of a stream


class VirtualNode:
    def __init__(self, name: str, data_center: str, nodes: int, seed: int) -> None:
        self.name = name
        self.data_center = data_center
        self.tracker = UsageTracker()
        self.tracker.set_node_count(nodes)
        self.finder = PathFinder(
            "engines",
            PROFILE,
            self.tracker,
            SlownessTracker(),
            UpstreamLimits(name, random.Random(seed)),
            random.Random(seed),
        )


@dataclass(slots=True)
class Spread:
    """What was placed, and on how many streams each first stage ran at once.

    Attributes
    ----------
    starts : Counter
        Streams that began, by first stage.
    imbalance : list of (float, float)
        Time, and the largest number of streams on one first stage over the mean; ten
        times a second.
    burst : int
        Most streams that began on one first stage within half a second.
    crossings : int
        Paths that use links between data centres.
    """

    starts: Counter = field(default_factory=Counter)
    imbalance: list[tuple[float, float]] = field(default_factory=list)
    burst: int = 0
    crossings: int = 0
    paths: int = 0


def play_streams(
    nodes: int,
    rate: float,
    engines: t.Sequence[t.Any],
    seconds: float,
    seed: int,
    added: t.Sequence[t.Any] = (),
    added_at: float = math.inf,
    data_centers: str = "a",
) -> Spread:
    """Place streams that arrive at random on random nodes; return how they spread."""
    source = random.Random(seed)
    fleet = [
        VirtualNode(f"n{n}", data_centers[n % len(data_centers)], nodes, seed + n)
        for n in range(nodes)
    ]
    events: list[tuple[float, int, str, t.Any]] = []
    serial = 0

    def push(at: float, kind: str, value: t.Any) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(events, (at, serial, kind, value))

    for node in fleet:
        push(source.random() * ROUND_PERIOD, "gossip", node)
    push(source.expovariate(rate), "arrive", None)
    push(2.0, "sample", None)
    spread = Spread()
    running: Counter = Counter()
    recent: dict[str, list[float]] = {}
    usable = list(engines)
    now = 0.0
    while events:
        now, _, kind, value = heapq.heappop(events)
        if now > seconds:
            break
        if now >= added_at and added:
            usable.extend(added)
            added = ()
        match kind:
            case "gossip":
                for peer in source.sample(fleet, FANOUT + 1):
                    if peer is value:
                        continue
                    peer.tracker.set_peer(
                        value.name, value.tracker.snapshot_local(), now
                    )
                    value.tracker.set_peer(
                        peer.name, peer.tracker.snapshot_local(), now
                    )
                push(now + ROUND_PERIOD * (0.8 + 0.4 * source.random()), kind, value)
            case "arrive":
                node = source.choice(fleet)
                demand = ResourceDemand(760, 216, node.data_center)
                path = node.finder.find(usable, demand)
                tokens = 976
                node.tracker.start(path.names, tokens)
                first = path.names[0]
                spread.starts[first] += 1
                spread.paths += 1
                spread.crossings += bool(path.links)
                running[first] += 1
                begun = recent.setdefault(first, [])
                begun[:] = [at for at in begun if at > now - 0.5]
                begun.append(now)
                spread.burst = max(spread.burst, len(begun))
                duration = source.expovariate(1.0 / MEAN_DURATION)
                push(now + duration, "finish", (node, path, tokens))
                push(now + source.expovariate(rate), kind, None)
            case "finish":
                node, path, tokens = value
                node.tracker.finish(path.names, tokens)
                running[path.names[0]] -= 1
            case "sample":
                firsts = [e.name for e in usable if e.layers.first == 0]
                counts = [running[name] for name in firsts]
                mean = sum(counts) / len(counts)
                if mean > 0:
                    spread.imbalance.append((now, max(counts) / mean))
                push(now + 0.1, kind, None)
    return spread


def make_chains(count: int, data_center: str = "a", prefix: str = "e", width: int = 27):
    """Return engines that hold the model's layers `count` times over."""
    engines = []
    for number in range(count):
        for first in range(0, PROFILE.layer_count, width):
            last = min(PROFILE.layer_count, first + width) - 1
            name = f"{prefix}{data_center}{number}-{first}"
            engines.append(make_engine(name, first, last, data_center))
    return engines
