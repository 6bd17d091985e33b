"""Simulates engines and the links between them on a virtual clock, with faults."""

import typing as t
from dataclasses import dataclass, field

import orjson

from tarragonrudder.core.domain.action import CancelAttempt, ProbeUpstream, StartAttempt
from tarragonrudder.core.domain.chain import (
    FreshCache,
    Hop,
    ImportedCache,
    KeptCache,
    ReplayedCache,
)
from tarragonrudder.core.domain.event import (
    AttemptEnded,
    AttemptFailed,
    Token,
    TokensArrived,
    UpstreamProbed,
)
from tarragonrudder.core.domain.failure import Crashed, Failure, Refused, Unreachable
from tarragonrudder.core.domain.fleet import Configuration
from tests.standins import model

if t.TYPE_CHECKING:
    from tests.standins.virtual_fleet import VirtualFleet

CRASH_MARK = "CRASH@"  # followed by the position from which a stage crashes
LINK_DELAY = 0.0005  # seconds, unless configured for the link
NODE_DELAY = 0.0005  # seconds
PREFILL_SPEEDUP = 20.0  # replayed tokens in the time of one generated token
IMPORT_SECONDS = 0.05  # to import a KV cache


@dataclass(slots=True)
class FakeEngine:
    """One engine; `caches` maps a request to the attempt and length of its cache."""

    name: str
    data_center: str
    layer_seconds: float
    state: str = "up"  # up, frozen or dead
    leaving: bool = False
    extra_seconds: float = 0.0
    caches: dict[str, tuple[int, int]] = field(default_factory=dict)
    deferred: list[t.Callable[[], None]] = field(default_factory=list)


@dataclass(slots=True)
class _Attempt:
    node: str
    start: StartAttempt
    emitted: list[str]
    messages: list[dict[str, str]]
    value: bytes = b""
    active: bool = True

    @property
    def hops(self) -> tuple[Hop, ...]:
        return self.start.chain.hops


class EngineFleet:
    """All engines and the links between them."""

    def __init__(self, fleet: "VirtualFleet", configuration: Configuration) -> None:
        self._fleet = fleet
        self._version = {e.name: e.version for e in configuration.engines}
        self.engines: dict[str, FakeEngine] = {}
        for engine in configuration.engines:
            # Each answer of a full batch gets its share of the engine's speed.
            seconds = engine.batch_limit / engine.layer_tokens_per_second
            self.engines[engine.name] = FakeEngine(
                engine.name, engine.data_center, seconds
            )
        self._delays: dict[tuple[str, str], float] = {}
        for link in configuration.links:
            self._delays[(link.source, link.target)] = link.latency
            self._delays[(link.target, link.source)] = link.latency
        self._runs: dict[tuple[str, int], _Attempt] = {}
        self._slow: dict[tuple[str, str], float] = {}
        self._cut: set[tuple[str, str]] = set()

    @property
    def running(self) -> list[tuple[str, ...]]:
        """Chains of the active attempts."""
        return [run.start.chain.upstreams for run in self._runs.values() if run.active]

    def find_chains(self, request: str) -> list[tuple[str, ...]]:
        """Return the chains of a request's attempts, in order."""
        chains = []
        for run in self._runs.values():
            if run.start.request == request:
                chains.append(run.start.chain.upstreams)
        return chains

    def crash(self, name: str) -> None:
        """Crash an engine, which breaks its connections."""
        engine = self.engines[name]
        engine.state = "dead"
        engine.caches.clear()
        broken = []
        for run in self._runs.values():
            if run.active and name in run.start.chain.upstreams:
                broken.append(run)
        requests = [run.start.request for run in broken]
        self._fleet.write("crashed", upstream=name, requests=requests)
        for run in broken:
            self._fail(run, Crashed(), name)

    def restart(self, name: str) -> None:
        """Restart an engine with empty caches."""
        engine = self.engines[name]
        self.engines[name] = FakeEngine(name, engine.data_center, engine.layer_seconds)

    def freeze(self, name: str) -> None:
        """Freeze an engine as SIGSTOP does."""
        self.engines[name].state = "frozen"

    def wake(self, name: str) -> None:
        """Wake a frozen engine and run what was deferred."""
        engine = self.engines[name]
        engine.state = "up"
        deferred, engine.deferred = engine.deferred, []
        for call in deferred:
            call()

    def slow_link(self, source: str, target: str, seconds: float) -> None:
        """Add a delay in seconds to a link in one direction; 0 removes it."""
        self._slow[(source, target)] = seconds

    def cut_link(self, source: str, target: str) -> None:
        """Break the connections of a link and prevent new ones."""
        self._cut.add((source, target))
        for run in list(self._runs.values()):
            names = run.start.chain.upstreams
            pairs = zip(names, names[1:], strict=False)
            if run.active and (source, target) in pairs:
                self._fail(run, Crashed(), target)

    def cut_stream(self, request: str) -> None:
        """Break the stream between a node and the head of the request's chain."""
        for run in list(self._runs.values()):
            if run.active and run.start.request == request:
                self._fail(run, Crashed(), run.hops[0].upstream)

    def heal_link(self, source: str, target: str) -> None:
        """Allow connections over a cut link again."""
        self._cut.discard((source, target))

    def drop_node(self, name: str) -> None:
        """Abandon the attempts of a dead node."""
        for run in self._runs.values():
            if run.node == name:
                run.active = False

    def start(self, node: str, action: StartAttempt) -> None:
        """Start an attempt at the head of its chain."""
        head = self.engines[action.chain.hops[0].upstream]
        messages = orjson.loads(action.prompt)
        run = _Attempt(node, action, list(action.emitted), messages)
        key = (action.request, action.attempt)
        if self._runs.get(key) is not None:
            return  # a repeated start is ignored
        self._runs[key] = run
        if head.state == "dead":
            self._fail(run, Unreachable(), head.name)
            return
        if head.leaving:
            self._fail(run, Refused(leaving=True), head.name)
            return
        self._fleet.write(
            "accepted",
            upstream=head.name,
            request=action.request,
            attempt=action.attempt,
        )
        self._begin_token(run)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt and drop its caches unless they are to be kept."""
        key = (action.request, action.attempt)
        run = self._runs.get(key)
        if run is not None:
            run.active = False
        if not action.keep_cache:
            for hop in action.chain.hops:
                self.engines[hop.upstream].caches.pop(action.request, None)

    def probe(self, node: str, action: ProbeUpstream) -> None:
        """Answer a probe; a frozen engine lets it time out."""
        engine = self.engines[action.upstream]
        delay = action.timeout if engine.state == "frozen" else 2 * NODE_DELAY
        event = UpstreamProbed(action.upstream, engine.state == "up")
        self._fleet.schedule(delay, lambda: self._fleet.deliver(node, event))

    def _begin_token(self, run: _Attempt) -> None:
        start = run.start
        if len(run.emitted) >= start.max_tokens:
            ended = AttemptEnded(
                start.request, start.attempt, len(run.emitted), "length"
            )
            self._fleet.post(run.node, ended)
            run.active = False
            return
        run.value = model.start_token(run.messages, run.emitted)
        self._enter_stage(run, 0)

    def _enter_stage(self, run: _Attempt, index: int) -> None:
        """Start the current token on one stage."""
        if not run.active:
            return
        hop = run.hops[index]
        engine = self.engines[hop.upstream]
        if engine.state == "frozen":
            engine.deferred.append(lambda: self._enter_stage(run, index))
            return
        if engine.state == "dead":
            self._fail(run, Unreachable(), hop.upstream)
            return
        first_token = len(run.emitted) == len(run.start.emitted)
        if first_token and index and engine.leaving:
            self._fail(run, Refused(leaving=True), hop.upstream)
            return
        seconds = self._prepare_cache(run, hop) if first_token else 0.0
        if seconds is None:
            self._fail(run, Refused(), hop.upstream)
            return
        seconds += len(hop.layers) * engine.layer_seconds + engine.extra_seconds
        self._fleet.schedule(seconds, lambda: self._run_layers(run, index, engine))

    def _prepare_cache(self, run: _Attempt, hop: Hop) -> float | None:
        """Return the seconds until the KV cache is ready, None if it is unavailable."""
        request = run.start.request
        emitted = len(run.start.emitted)
        engine = self.engines[hop.upstream]
        tokens = len(run.start.prompt) / 4 + emitted
        match hop.cache:
            case KeptCache(attempt=attempt):
                known, length = engine.caches.get(request, (0, 0))
                return 0.0 if known == attempt and length >= emitted else None
            case ImportedCache(attempt=attempt, upstream=upstream):
                source = self.engines[upstream]
                known, length = source.caches.get(request, (0, 0))
                ready = source.state == "up" and known == attempt
                return IMPORT_SECONDS if ready and length >= emitted else None
            case FreshCache() | ReplayedCache():
                if run.start.attempt > 1:
                    self._fleet.write(
                        "replayed",
                        upstream=hop.upstream,
                        request=request,
                        work=tokens * len(hop.layers),
                    )
        return tokens * len(hop.layers) * engine.layer_seconds / PREFILL_SPEEDUP

    def _run_layers(self, run: _Attempt, index: int, engine: FakeEngine) -> None:
        if not run.active or engine.state == "dead":
            return
        if engine.state == "frozen":
            engine.deferred.append(lambda: self._run_layers(run, index, engine))
            return
        hop = run.hops[index]
        position = len(run.emitted)
        if self._should_crash(run, position):
            self._fleet.write("crashing", upstream=engine.name, messages=run.messages)
            self.crash(engine.name)
            return
        self._fleet.write(
            "layers",
            upstream=engine.name,
            request=run.start.request,
            attempt=run.start.attempt,
            position=position,
            first=hop.layers.first,
            last=hop.layers.last,
        )
        version = self._version[engine.name]
        run.value = model.apply_layers(
            run.value, version, hop.layers.first, hop.layers.last
        )
        engine.caches[run.start.request] = (run.start.attempt, position + 1)
        if index + 1 == len(run.hops):
            self._fleet.schedule(LINK_DELAY, lambda: self._end_token(run))
            return
        target = self.engines[run.hops[index + 1].upstream]
        link = (engine.name, target.name)
        if link in self._cut:
            self._fail(run, Crashed(), target.name)
            return
        delay = self._measure_delay(engine, target) + self._slow.get(link, 0.0)
        self._fleet.schedule(delay, lambda: self._enter_stage(run, index + 1))

    def _measure_delay(self, source: FakeEngine, target: FakeEngine) -> float:
        key = (source.data_center, target.data_center)
        return self._delays.get(key, LINK_DELAY)

    def _end_token(self, run: _Attempt) -> None:
        head = self.engines[run.hops[0].upstream]
        if not run.active or head.state == "dead":
            return
        if head.state == "frozen":
            head.deferred.append(lambda: self._end_token(run))
            return
        position = len(run.emitted)
        text = model.read_token(run.value)
        run.emitted.append(text)
        start = run.start
        arrived = TokensArrived(start.request, start.attempt, (Token(position, text),))
        self._fleet.post(run.node, arrived)
        self._begin_token(run)

    def _should_crash(self, run: _Attempt, position: int) -> bool:
        _, mark, rest = run.messages[0]["content"].partition(CRASH_MARK)
        return bool(mark) and position >= int(rest)

    def _fail(self, run: _Attempt, failure: Failure, upstream: str) -> None:
        run.active = False
        start = run.start
        head = self.engines[run.hops[0].upstream]
        delay = NODE_DELAY if upstream == head.name else NODE_DELAY + LINK_DELAY
        if upstream != head.name and head.state != "up":
            return  # a dead or frozen head can't report the failure
        event = AttemptFailed(start.request, start.attempt, failure, upstream)
        self._fleet.post(run.node, event, delay)
