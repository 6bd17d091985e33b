"""Simulates the core of several nodes, callers and engines on a virtual clock."""

import heapq
import random
import typing as t
from dataclasses import dataclass, field

from benchmarks.engines import STEP, EngineFleet, Progress, Stream
from benchmarks.fleet import DATA_CENTERS, ROUTE, Site, list_account_shares
from benchmarks.outcome import Outcome
from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain import event as events
from tarragonrudder.core.domain import failure as failures
from tarragonrudder.core.node.node import Node, NodeOptions
from tarragonrudder.core.selection.selector import Selector

ENGINE_LATENCY = 0.0005  # seconds, one way, between a node and an engine
PEER_LATENCY = 0.001  # seconds, one way, between nodes
BREAK_DELAY = 0.005  # seconds until a node detects a broken stream
REPORT_PERIOD = 0.5  # least seconds between reports of an engine to one node
MAX_CACHE_EVENTS = 16  # piggybacked on one load report
CACHE_EVENT_LOSS = 0.05  # share of cache events that are lost
PROMPT_COUNT = 2000  # distinct prompts
ANSWER_LENGTHS = (60, 180)  # tokens of an answer, least and most
MAX_TOKENS = 200


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is applied to the simulation at a time."""

    at: float
    apply: t.Callable[["Simulation"], None]


@dataclass(frozen=True, slots=True)
class Setup:
    """Parameters of one simulation.

    Attributes
    ----------
    load : callable
        Returns the offered work at a time, as a share of the site's bound.
    node_shares, account_shares : tuple of float
        Weights by which requests are spread over nodes and accounts.
    report_lag : float
        Least age of the data in load reports, in seconds.
    prepare : callable or None
        Called with each node before it starts.
    """

    site: Site
    seed: int
    duration: float
    load: t.Callable[[float], float]
    selector: type[Selector] = Selector
    node_shares: tuple[float, ...] = (1.0,) * 7
    account_shares: tuple[float, ...] = tuple(list_account_shares())
    report_lag: float = 0.1
    faults: tuple[Fault, ...] = ()
    prepare: t.Callable[[Node], None] | None = None


@dataclass(slots=True)
class _NodeState:
    """A node and its state in the simulation.

    Attributes
    ----------
    timers : dict of str to int
        Sequence number of each timer that is set; others are outdated.
    reported_at : dict of str to float
        Time of the last load report from each engine.
    cache_events_seen : dict of str to int
        Number of each engine's cache events that were sent or dropped.
    """

    node: Node
    alive: bool = True
    in_balancer: bool = True
    timers: dict[str, int] = field(default_factory=dict)
    reported_at: dict[str, float] = field(default_factory=dict)
    cache_events_seen: dict[str, int] = field(default_factory=dict)


class Simulation:
    """Simulates a setup; ``run`` returns the outcomes of the requests."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.now = 0.0
        self.fleet = EngineFleet(setup.site.configuration)
        self.outcomes: dict[str, Outcome] = {}
        self.queue_ages: list[tuple[float, float]] = []
        self.platform_up = True
        self.node_states: dict[str, _NodeState] = {}
        self._random = random.Random(setup.seed)
        self._loss_random = random.Random(setup.seed + 1)
        self._event_queue: list[tuple[float, int, t.Callable[..., None], t.Any]] = []
        self._sequence = 0
        self._waiting: dict[str, float] = {}
        self._values: dict[str, tuple[bytes, int]] = {}
        for index in range(len(setup.node_shares)):
            self._add_node(index)

    def run(self) -> list[Outcome]:
        """Run to the end and return all outcomes, in order of arrival."""
        for node_state in self.node_states.values():
            self._start_node(node_state)
        for fault in self.setup.faults:
            self.schedule(fault.at, _apply_fault, fault.apply)
        self._schedule_arrival()
        self.schedule(STEP, self._step_engines, None)
        while self._event_queue:
            at, _, function, argument = heapq.heappop(self._event_queue)
            if at > self.setup.duration:
                break
            self.now = at
            function(self, argument) if function is _apply_fault else function(argument)
        return list(self.outcomes.values())

    def schedule(
        self, at: float, function: t.Callable[..., None], argument: t.Any
    ) -> None:
        """Call a function with an argument at a time."""
        self._sequence += 1
        heapq.heappush(self._event_queue, (at, self._sequence, function, argument))

    def post(self, name: str, event: events.Event) -> None:
        """Pass an event to a live node and execute the actions that it returns."""
        node_state = self.node_states[name]
        if node_state.alive:
            self._execute_actions(name, node_state.node.handle(event, self.now))

    def kill_engines(self, names: t.Iterable[str]) -> None:
        """Kill engines; their streams break."""
        for name in names:
            for stream in self.fleet.kill(name):
                key = (stream.action.request, stream.action.attempt)
                event = events.AttemptFailed(*key, failures.Crashed(), name)
                self.schedule(self.now + BREAK_DELAY, self._post, (stream.node, event))

    def kill_node(self, name: str, balancer_lag: float) -> None:
        """Kill a node; it is sent requests for another `balancer_lag` seconds."""
        self.node_states[name].alive = False
        for key, stream in list(self.fleet.streams.items()):
            if stream.node == name:
                self.fleet.cancel(*key)
        for request in list(self._waiting):
            if request.startswith(name + "|"):
                del self._waiting[request]
        self.schedule(self.now + balancer_lag, self._remove_from_balancer, name)

    def list_nodes(self) -> tuple[events.NodeAddress, ...]:
        """Return the addresses of the live nodes."""
        found = []
        for index, (name, node_state) in enumerate(self.node_states.items()):
            if node_state.alive:
                found.append(events.NodeAddress(name, name, DATA_CENTERS[index % 3]))
        return tuple(found)

    def _add_node(self, index: int) -> None:
        name = f"node-{index}"
        data_center = DATA_CENTERS[index % 3]
        source = random.Random(self.setup.seed * 1000 + index)
        node = Node(NodeOptions(name, data_center), source, self.setup.selector)
        if self.setup.prepare is not None:
            self.setup.prepare(node)
        self.node_states[name] = _NodeState(node)

    def _start_node(self, node_state: _NodeState) -> None:
        name = next(key for key, each in self.node_states.items() if each is node_state)
        self._execute_actions(name, node_state.node.start(0.0))
        self.post(name, events.ConfigurationLoaded(self.setup.site.configuration))
        self.post(name, events.NodesListed(self.list_nodes()))

    def _remove_from_balancer(self, name: str) -> None:
        self.node_states[name].in_balancer = False
        listed = events.NodesListed(self.list_nodes())
        for each in self.node_states:
            self.post(each, listed)

    def _schedule_arrival(self) -> None:
        mean = (sum(ANSWER_LENGTHS) / 2.0) + 3.0
        load = max(0.01, self.setup.load(self.now))
        rate = load * self.setup.site.bound / mean
        self.schedule(self.now + self._random.expovariate(rate), self._arrive, None)

    def _arrive(self, _: None) -> None:
        self._schedule_arrival()
        setup = self.setup
        names = list(self.node_states)
        shares = [
            share if self.node_states[name].in_balancer else 0.0
            for name, share in zip(names, setup.node_shares, strict=True)
        ]
        name = self._random.choices(names, shares)[0]
        account_shares = setup.account_shares
        account = self._random.choices(range(len(account_shares)), account_shares)[0]
        length = self._random.randint(*ANSWER_LENGTHS)
        prompt = f"prompt-{int(PROMPT_COUNT * self._random.random() ** 2)}"
        request = f"{name}|{len(self.outcomes)}"
        deadline = setup.site.configuration.priorities[0].deadline
        outcome = Outcome(f"account-{account}", self.now, length, self.now + deadline)
        self.outcomes[request] = outcome
        if not self.node_states[name].alive:
            outcome.problem = "unreachable"
            return
        self._waiting[request] = self.now
        chat = events.ChatRequested(
            request, outcome.account, ROUTE, prompt.encode(), MAX_TOKENS, prompt
        )
        at = self.now + setup.site.client_latency
        self.schedule(at, self._post, (name, chat))

    def _step_engines(self, _: None) -> None:
        for progress in self.fleet.step(self.now):
            at = max(progress.at, self.now) + ENGINE_LATENCY
            self.schedule(at, self._deliver, progress)
        if int(self.now / STEP) % int(1.0 / STEP) == 0:
            oldest = min(self._waiting.values(), default=self.now)
            self.queue_ages.append((self.now, self.now - oldest))
        self.schedule(self.now + STEP, self._step_engines, None)

    def _deliver(self, progress: Progress) -> None:
        """Pass a stream's tokens to its node, with the load reports that are due."""
        stream = progress.stream
        key = (stream.action.request, stream.action.attempt)
        self._deliver_reports(stream)
        tokens = tuple(
            events.Token(i, "x") for i in range(progress.first, progress.last)
        )
        self.post(stream.node, events.TokensArrived(*key, tokens))
        if progress.ended:
            self.post(stream.node, events.AttemptEnded(*key, stream.length, "stop"))

    def _deliver_reports(self, stream: Stream) -> None:
        node_state = self.node_states[stream.node]
        for hop in stream.action.chain.hops:
            name = hop.upstream
            if self.now - node_state.reported_at.get(name, -1.0) < REPORT_PERIOD:
                continue
            node_state.reported_at[name] = self.now
            report = self.fleet.read_report(name, self.now, self.setup.report_lag)
            self.post(stream.node, events.LoadReported(name, *report))
            self._deliver_cache_events(stream.node, name)

    def _deliver_cache_events(self, node: str, engine: str) -> None:
        seen = self.node_states[node].cache_events_seen
        log = self.fleet.engines[engine].events
        begin = max(seen.get(engine, 0), len(log) - MAX_CACHE_EVENTS)
        for index in range(begin, len(log)):
            if self._loss_random.random() < CACHE_EVENT_LOSS:
                continue
            prefix, held = log[index]
            event = events.CacheChanged(engine, index + 1, prefix, held)
            self.post(node, event)
        seen[engine] = len(log)

    def _post(self, target: tuple[str, events.Event]) -> None:
        self.post(*target)

    def _execute_actions(self, name: str, decided: list[actions.Action]) -> None:
        for action in decided:
            self._execute_action(name, action)

    def _execute_action(self, name: str, action: actions.Action) -> None:
        match action:
            case actions.StartAttempt():
                self._waiting.pop(action.request, None)
                outcome = self.outcomes[action.request]
                outcome.started_at = outcome.started_at or self.now
                at = self.now + ENGINE_LATENCY
                self.schedule(at, self._submit, (name, action))
            case actions.CancelAttempt():
                self.fleet.cancel(action.request, action.attempt)
            case actions.EmitTokens():
                outcome = self.outcomes[action.request]
                seen = self.now + self.setup.site.client_latency
                outcome.first_token_at = (
                    outcome.first_token_at
                    if outcome.first_token_at is not None
                    else seen
                )
                outcome.last_token_at = seen
            case actions.EndAnswer():
                seen = self.now + self.setup.site.client_latency
                self.outcomes[action.request].ended_at = seen
            case actions.FailAnswer():
                self._waiting.pop(action.request, None)
                outcome = self.outcomes[action.request]
                outcome.ended_at = self.now + self.setup.site.client_latency
                outcome.problem = action.problem.kind
            case actions.SetTimer():
                self._sequence += 1
                self.node_states[name].timers[action.timer] = self._sequence
                due = (name, action.timer, self._sequence)
                self.schedule(action.at, self._fire, due)
            case actions.ClearTimer():
                self.node_states[name].timers.pop(action.timer, None)
            case actions.SendPeerMessage():
                event = events.PeerMessageReceived(name, action.message)
                at = self.now + PEER_LATENCY
                if action.node in self.node_states:
                    self.schedule(at, self._post, (action.node, event))
            case actions.ProbeUpstream():
                alive = self.fleet.engines[action.upstream].alive
                probed = events.UpstreamProbed(action.upstream, alive)
                at = self.now + ENGINE_LATENCY
                self.schedule(at, self._post, (name, probed))
            case actions.ReadKey() | actions.SwapKey():
                answer = self._call_platform(action)
                self.schedule(self.now + 0.002, self._post, (name, answer))
            case actions.GrantLease():
                failed = events.PlatformCallFailed(action.tag, "")
                self.schedule(self.now + 0.002, self._post, (name, failed))

    def _call_platform(self, action: actions.ReadKey | actions.SwapKey) -> events.Event:
        if not self.platform_up:
            return events.PlatformCallFailed(action.tag, action.key)
        value, revision = self._values.get(action.key, (b"", 0))
        if isinstance(action, actions.ReadKey):
            found = value if revision else None
            return events.KeyRead(action.tag, action.key, found, revision)
        if revision != action.expected:
            return events.SwapConflicted(action.tag, action.key)
        self._values[action.key] = (action.value, revision + 1)
        return events.Swapped(action.tag, action.key, revision + 1)

    def _submit(self, target: tuple[str, actions.StartAttempt]) -> None:
        name, action = target
        length = self.outcomes[action.request].length
        dead = self.fleet.submit(name, action, length)
        if dead is None:
            return
        failure: failures.Failure = failures.Crashed()
        if dead == action.chain.hops[0].upstream:
            failure = failures.Unreachable()
        event = events.AttemptFailed(action.request, action.attempt, failure, dead)
        self.schedule(self.now + BREAK_DELAY, self._post, (name, event))

    def _fire(self, due: tuple[str, str, int]) -> None:
        name, timer, number = due
        node_state = self.node_states[name]
        if node_state.timers.get(timer) != number:
            return
        del node_state.timers[timer]
        self.post(name, events.TimerFired(timer))


def _apply_fault(
    simulation: Simulation, function: t.Callable[[Simulation], None]
) -> None:
    function(simulation)
