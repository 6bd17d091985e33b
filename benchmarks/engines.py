"""Simulates a fleet's engines and links on a virtual clock.

Each answer advances at the token rate that its chain allows. An engine or link
whose load exceeds its speed raises its slowdown, a factor on the time that a
token spends there, until the load fits. All rates are recomputed in each step.
"""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain.action import StartAttempt
from tarragonrudder.core.domain.fleet import Configuration

STEP = 0.025  # seconds
LAYER_SECONDS = 0.0006  # for one token through one layer of an idle engine
PREFILL_WORK = 3.0  # work before the first token, in tokens
CACHED_WORK = 0.5  # the same if the prompt's prefix is cached
REPLAY_WORK = 0.03  # per token that is replayed after a failure
TOKENS_PER_MESSAGE = 8
SLOWDOWN_GAIN = 0.5  # exponent of the load ratio in each step's update
CACHE_CAPACITY = 256  # prefixes held by an engine


@dataclass(slots=True)
class Resource:
    """An engine or a link that is shared by streams.

    Attributes
    ----------
    speed : float
        Layer tokens per second, or tokens per second for a link.
    slots : int
        Streams that it serves at once.
    slowdown, min_slowdown : float
        Factor by which load multiplies a token's idle time here, and its lower
        bound.
    work : float
        Work per second that the active streams ask for, in the unit of `speed`.
    events : list
        All cache events so far; the first has sequence number 1.
    """

    speed: float
    slots: int
    slowdown: float = 1.0
    work: float = 0.0
    running: int = 0
    queued: int = 0
    min_slowdown: float = 1.0
    alive: bool = True
    reports: list[tuple[float, int, int]] = field(default_factory=list)
    cached: dict[str, None] = field(default_factory=dict)
    events: list[tuple[str, bool]] = field(default_factory=list)

    def cache(self, prefix: str) -> None:
        """Cache a prefix and evict the oldest one if the cache is full."""
        if prefix in self.cached:
            return
        self.cached[prefix] = None
        self.events.append((prefix, True))
        if len(self.cached) > CACHE_CAPACITY:
            oldest = next(iter(self.cached))
            del self.cached[oldest]
            self.events.append((oldest, False))


@dataclass(slots=True)
class Stream:
    """One attempt that runs or waits for a slot.

    Attributes
    ----------
    resources : list of tuple
        (engine or link, work per token, idle seconds per token).
    tokens_done : float
        Tokens produced; starts lower by the prefill and replay work.
    tokens_delivered : int
        Tokens passed on to the node.
    """

    node: str
    action: StartAttempt
    resources: list[tuple[Resource, float, float]]
    length: int
    tokens_done: float
    tokens_delivered: int
    has_slot: bool = False
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Progress:
    """Tokens `first` up to, not including, `last` of a stream, ready at a time.

    `ended` is true if they are the last ones of the answer.
    """

    stream: Stream
    at: float
    first: int
    last: int
    ended: bool


class EngineFleet:
    """Simulates all engines and links of a site."""

    def __init__(self, configuration: Configuration) -> None:
        self.engines: dict[str, Resource] = {}
        self.links: dict[frozenset[str], Resource] = {}
        self.streams: dict[tuple[str, int], Stream] = {}
        self.waiting: list[Stream] = []
        self._data_centers: dict[str, str] = {}
        model = configuration.models[0]
        self._latencies: dict[frozenset[str], float] = {}
        for engine in configuration.engines:
            self.engines[engine.name] = Resource(
                engine.layer_tokens_per_second, engine.batch_limit
            )
            self._data_centers[engine.name] = engine.data_center
        for link in configuration.links:
            pair = frozenset((link.source, link.target))
            rate = link.bytes_per_second / model.activation_bytes
            self.links[pair] = Resource(rate, 1 << 30)
            self._latencies[pair] = link.latency

    def submit(self, node: str, action: StartAttempt, length: int) -> str | None:
        """Queue an attempt, or return the first dead engine of its chain."""
        for hop in action.chain.hops:
            if not self.engines[hop.upstream].alive:
                return hop.upstream
        work = PREFILL_WORK
        chain_engines = [self.engines[hop.upstream] for hop in action.chain.hops]
        prefix = action.prompt.decode()
        if all(prefix in resource.cached for resource in chain_engines):
            work = CACHED_WORK
        work += REPLAY_WORK * len(action.emitted)
        emitted_count = len(action.emitted)
        stream = Stream(
            node,
            action,
            self._list_resources(action),
            length,
            emitted_count - work,
            emitted_count,
        )
        self.streams[(action.request, action.attempt)] = stream
        self.waiting.append(stream)
        self.waiting.sort(key=lambda queued: (queued.action.level, queued.action.order))
        for resource in chain_engines:
            resource.queued += 1
        return None

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel an attempt, if it is known."""
        stream = self.streams.pop((request, attempt), None)
        if stream is not None:
            self._release_slots(stream)

    def kill(self, name: str) -> list[Stream]:
        """Kill an engine; return the streams that broke."""
        resource = self.engines[name]
        resource.alive = False
        broken = []
        for key, stream in list(self.streams.items()):
            if any(used is resource for used, _, _ in stream.resources):
                del self.streams[key]
                self._release_slots(stream)
                broken.append(stream)
        return broken

    def step(self, now: float) -> list[Progress]:
        """Advance all streams by one step; return the tokens that became ready."""
        self._fill_slots()
        active = [stream for stream in self.streams.values() if stream.has_slot]
        self._set_rates(active)
        results: list[Progress] = []
        for stream in active:
            self._advance(stream, now, results)
        for resource in self.engines.values():
            resource.reports.append((now, resource.running, resource.queued))
            if len(resource.reports) > 200:
                del resource.reports[:100]
        return results

    def degrade_link(self, source: str, target: str, factor: float) -> None:
        """Divide a link's speed by a factor, and slow all tokens on it by as much."""
        link = self.links[frozenset((source, target))]
        link.speed /= factor
        link.min_slowdown = factor
        link.slowdown = max(link.slowdown, factor)

    def read_report(self, name: str, now: float, lag: float) -> tuple[int, int, float]:
        """Return running, queued and age of the last report at least `lag` old."""
        for at, running, queued in reversed(self.engines[name].reports):
            if at <= now - lag:
                return running, queued, now - at
        return 0, 0, lag

    def _list_resources(
        self, action: StartAttempt
    ) -> list[tuple[Resource, float, float]]:
        """Return the chain's engines and links with work and idle seconds per token."""
        resources: list[tuple[Resource, float, float]] = []
        previous_data_center = ""
        for hop in action.chain.hops:
            engine_data_center = self._data_centers[hop.upstream]
            pair = frozenset((previous_data_center, engine_data_center))
            if previous_data_center and previous_data_center != engine_data_center:
                link = self.links[pair]
                resources.append((link, 1.0, self._latencies[pair] + 1.0 / link.speed))
            layers = len(hop.layers)
            engine = self.engines[hop.upstream]
            resources.append((engine, float(layers), layers * LAYER_SECONDS))
            previous_data_center = engine_data_center
        return resources

    def _fill_slots(self) -> None:
        still_waiting = []
        for stream in self.waiting:
            if any(
                resource.running >= resource.slots
                for resource, _, _ in stream.resources
            ):
                still_waiting.append(stream)
                continue
            stream.has_slot = True
            for resource, _, _ in stream.resources:
                resource.running += 1
                resource.queued = max(0, resource.queued - 1)
        self.waiting = still_waiting

    def _set_rates(self, active: list[Stream]) -> None:
        resources: t.Iterable[Resource] = [*self.engines.values(), *self.links.values()]
        for resource in resources:
            resource.work = 0.0
        for stream in active:
            seconds = 0.0
            for resource, _, idle in stream.resources:
                seconds += idle * resource.slowdown
            rate = 1.0 / seconds
            stream.rate = rate
            for resource, work, _ in stream.resources:
                resource.work += rate * work
        utilization = {}
        for resource in resources:
            ratio = resource.work / resource.speed
            utilization[id(resource)] = ratio
            slowdown = resource.slowdown * max(ratio, 0.25) ** SLOWDOWN_GAIN
            resource.slowdown = max(resource.min_slowdown, slowdown)
        for stream in active:
            max_utilization = max(
                utilization[id(resource)] for resource, _, _ in stream.resources
            )
            if max_utilization > 1.0:
                stream.rate /= max_utilization

    def _advance(self, stream: Stream, now: float, results: list[Progress]) -> None:
        previous_tokens = stream.tokens_done
        stream.tokens_done = min(
            float(stream.length), previous_tokens + stream.rate * STEP
        )
        ready = int(stream.tokens_done)
        ended = ready >= stream.length
        started = stream.tokens_delivered > len(stream.action.emitted)
        wanted = TOKENS_PER_MESSAGE if started else 1
        if ready - stream.tokens_delivered < wanted and not ended:
            return
        if not started:
            for hop in stream.action.chain.hops:
                self.engines[hop.upstream].cache(stream.action.prompt.decode())
        at = now + (ready - previous_tokens) / stream.rate
        results.append(Progress(stream, at, stream.tokens_delivered, ready, ended))
        stream.tokens_delivered = ready
        if ended:
            key = (stream.action.request, stream.action.attempt)
            del self.streams[key]
            self._release_slots(stream)

    def _release_slots(self, stream: Stream) -> None:
        if not stream.has_slot:
            self.waiting.remove(stream)
        for resource, _, _ in stream.resources:
            if stream.has_slot:
                resource.running -= 1
            else:
                resource.queued = max(0, resource.queued - 1)
