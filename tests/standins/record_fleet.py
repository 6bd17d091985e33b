"""Simulates nodes, a platform and plain services on a virtual clock, with faults.

Only the actions of call records are supported. Fakes execute them at the core's
interface, and the services keep the journal by which the invariants are checked.
"""

import heapq
import random
import typing as t
from collections import Counter
from dataclasses import dataclass, field

from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain import event as events
from tarragonrudder.core.domain import failure as failures
from tarragonrudder.core.domain import fleet
from tarragonrudder.core.node.node import Node, NodeOptions
from tarragonrudder.errors import RunState

ROUTE_TIMEOUT = 2.0  # seconds
LINK_DELAY = 0.001  # seconds
SMALL_OPTIONS = RecordOptions(
    shards=2, slots=4, seal_bytes=4096, retention=600.0, max_direct_nodes=0
)


@dataclass(frozen=True, slots=True)
class Run:
    """A journal entry of a call that a service ran."""

    at: float
    service: str
    record: str
    request: str
    body: bytes


@dataclass(frozen=True, slots=True)
class SentCall:
    """A caller's call and the process that received it."""

    at: float
    host: "Host"
    account: str
    key: str | None
    body: str


@dataclass(slots=True)
class Host:
    """The process of one node."""

    node: Node
    frozen: bool = False
    alive: bool = True
    deferred: list[t.Callable[[], None]] = field(default_factory=list)
    timers: dict[str, float] = field(default_factory=dict)


class RecordFleet:
    """Hosts, a platform and services.

    Each swap takes the next entry of ``platform_faults`` and each service call the
    next of ``service_faults``; without entries they succeed.

    Faults of a swap: ``down`` (not written), ``lost`` (written, no response),
    ``dropped`` (not written, no response), ``late`` (no response, and written a
    second later if the revision still matches), ``slow``, or ``ok`` for none.

    Faults of a call: ``before`` and ``after`` (crash before and after running),
    ``late`` (runs after the node's timeout), ``refuse``, ``unreachable``, or ``ok``
    for none.
    """

    def __init__(
        self,
        count: int = 3,
        options: RecordOptions = SMALL_OPTIONS,
        outcome_path: str | None = None,
        services: int = 2,
        checks_revisions: bool = True,
    ) -> None:
        self.now = 1000.0
        self.options = options
        self.checks_revisions = checks_revisions
        self.values: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.platform_delay = 0.002
        self.platform_down = False
        self.platform_faults: list[str] = []
        self.service_faults: list[str] = []
        self.service_delay = 0.02
        self.answer_body = b""
        self.peers_cut = False
        self.counts: Counter[str] = Counter()
        self.journal: list[Run] = []
        self.sent: dict[str, SentCall] = {}
        self.answers: dict[str, tuple[float, actions.Action]] = {}
        self.logs: list[actions.LogDecision] = []
        # Called before each event or action of a node; removed once it returns True.
        self.hook: t.Callable[[str, object], bool] | None = None
        self._heap: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = 0
        names = [f"node-{index}" for index in range(count)]
        self._listed = tuple(events.NodeAddress(name, name, "mi-1") for name in names)
        self.configuration = _make_configuration(services, outcome_path)
        self.hosts: dict[str, Host] = {}
        for name in names:
            self.replace(name)

    def replace(self, name: str) -> None:
        """Start a node without any state, in place of any of the same name."""
        if name in self.hosts:
            self.hosts[name].alive = False
        options = NodeOptions(name, "mi-1", records=self.options)
        host = Host(Node(options, random.Random(1)))
        self.hosts[name] = host
        self._carry_out(host, name, host.node.start(self.now))
        self.deliver(name, events.ConfigurationLoaded(self.configuration))
        self.deliver(name, events.NodesListed(self._listed))

    def list_nodes(self, names: t.Iterable[str]) -> None:
        """Send the list of live nodes to all nodes."""
        listed = tuple(events.NodeAddress(name, name, "mi-1") for name in names)
        self._listed = listed
        for name in self.hosts:
            self.deliver(name, events.NodesListed(listed))

    def kill(self, name: str) -> None:
        """Kill a node."""
        self.hosts[name].alive = False

    def freeze(self, name: str) -> None:
        """Freeze a node; its events and actions are deferred."""
        self.hosts[name].frozen = True

    def wake(self, name: str) -> None:
        """Wake a frozen node and run what was deferred."""
        host = self.hosts[name]
        host.frozen = False
        deferred, host.deferred = host.deferred, []
        for item in deferred:
            if host.frozen:
                host.deferred.append(item)
                continue
            item()

    def send(
        self,
        node: str,
        key: str | None,
        body: str = "a",
        account: str = "courts",
        method: str = "POST",
    ) -> str:
        """Send a service call to a node; return the request's name."""
        request = f"call-{len(self.sent)}"
        self.sent[request] = SentCall(self.now, self.hosts[node], account, key, body)
        event = events.ServiceRequested(
            request, account, "register", method, "/excusals", body, key
        )
        self.deliver(node, event)
        return request

    def deliver(self, name: str, event: events.Event) -> None:
        """Deliver an event to a node, now or when it wakes."""
        host = self.hosts[name]

        def handle() -> None:
            decided = host.node.handle(event, self.now)
            self._carry_out(host, name, decided)

        self._run_or_defer(host, name, event, handle)

    def at(self, when: float, function: t.Callable[[], None]) -> None:
        """Schedule a function."""
        self._order += 1
        heapq.heappush(self._heap, (when, self._order, function))

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function = heapq.heappop(self._heap)
            function()
        self.now = end

    def describe_answer(self, request: str) -> str:
        """Return a short form of an answer, such as ``201 replayed``."""
        found = self.answers.get(request)
        if found is None:
            return "none"
        match found[1]:
            case actions.AnswerServiceCall(status=status, replayed=replayed):
                return f"{status} replayed" if replayed else str(status)
            case actions.FailAnswer(problem=problem):
                return f"{problem.kind} {problem.run_state.value}"
        raise AssertionError(found)

    def count_runs(self, key: str, account: str = "courts") -> int:
        """Return the number of runs of a key in the services' journal."""
        count = 0
        for run in self.journal:
            sent = self.sent[run.request]
            count += (sent.account, sent.key) == (account, key)
        return count

    def check_invariants(self) -> None:
        """Raise if the services' journal contradicts what callers were told.

        No key runs twice, no call runs that was reported as not run, and all answers
        to a key are those of its run.
        """
        runs: dict[tuple[str, str], list[Run]] = {}
        for run in self.journal:
            sent = self.sent[run.request]
            if sent.key is not None:
                runs.setdefault((sent.account, sent.key), []).append(run)
        for key, found in runs.items():
            assert len(found) <= 1, f"{key} ran {len(found)} times: {found}"
        ran = Counter(run.request for run in self.journal)
        for request, (_, answer) in self.answers.items():
            sent = self.sent[request]
            match answer:
                case actions.FailAnswer(problem=problem):
                    if problem.run_state is RunState.NOT_RUN:
                        assert ran[request] == 0, f"{request} ran, but {problem}"
                case actions.AnswerServiceCall(body=body) if sent.key is not None:
                    (run,) = runs[(sent.account, sent.key)]
                    assert body == run.body, f"{request} got another answer"
        for request, count in ran.items():
            assert count == 1 or self.sent[request].key is None, request

    def _run_or_defer(
        self, host: Host, name: str, item: object, function: t.Callable[[], None]
    ) -> None:
        def run() -> None:
            self._run_or_defer(host, name, item, function)

        if not host.frozen and self.hook is not None and self.hook(name, item):
            self.hook = None
        if host.frozen:
            host.deferred.append(run)
            return
        if host.alive:
            function()

    def _carry_out(self, host: Host, name: str, decided: list[actions.Action]) -> None:
        for action in decided:

            def perform(action: actions.Action = action) -> None:
                self._perform(host, name, action)

            self._run_or_defer(host, name, action, perform)

    def _perform(self, host: Host, name: str, action: actions.Action) -> None:
        match action:
            case actions.SetTimer():
                self._set_timer(host, name, action)
            case actions.ClearTimer(timer=timer):
                host.timers.pop(timer, None)
            case actions.SwapKey():
                self._swap(name, action)
            case actions.ReadKey():
                self._read(name, action)
            case actions.SendPeerMessage():
                self._send_peer(name, action)
            case actions.CallService():
                self._call(name, action)
            case actions.ReadOutcome():
                self._read_outcome(name, action)
            case actions.AnswerServiceCall() | actions.FailAnswer():
                assert action.request not in self.answers, "answered twice"
                self.answers[action.request] = (self.now, action)
            case actions.LogDecision():
                self.logs.append(action)

    def _set_timer(self, host: Host, name: str, action: actions.SetTimer) -> None:
        host.timers[action.timer] = action.at

        def fire() -> None:
            if host.timers.get(action.timer) == action.at and host.alive:
                del host.timers[action.timer]
                if self.hosts[name] is host:
                    self.deliver(name, events.TimerFired(action.timer))

        self.at(max(action.at, self.now), fire)

    def _reply(self, name: str, host: Host, event: events.Event, delay: float) -> None:
        def deliver_reply() -> None:
            if self.hosts[name] is host:
                self.deliver(name, event)

        self.at(self.now + delay, deliver_reply)

    def _swap(self, name: str, action: actions.SwapKey) -> None:
        self.counts["writes"] += 1
        self.counts["write_bytes"] += len(action.value)
        host = self.hosts[name]
        fault = self._take_fault(self.platform_faults)
        failed = events.PlatformCallFailed(action.tag, action.key)
        lost = events.SwapOutcomeUnknown(action.tag, action.key)
        if fault == "down":
            self._reply(name, host, failed, self.platform_delay)
            return
        if fault == "dropped":
            self._reply(name, host, lost, 1.0)
            return
        lag = {"late": 2.0, "slow": 0.9}.get(fault, self.platform_delay / 2)

        def apply_swap() -> None:
            _, revision = self.values.get(action.key, (b"", 0))
            matched = revision == action.expected or not self.checks_revisions
            if matched:
                self.revision += 1
                self.values[action.key] = (action.value, self.revision)
            if fault in ("lost", "late"):
                return
            if matched:
                event: events.Event = events.Swapped(
                    action.tag, action.key, self.revision
                )
            else:
                self.counts["conflicts"] += 1
                event = events.SwapConflicted(action.tag, action.key)
            self._reply(name, host, event, self.platform_delay / 2)

        self.at(self.now + lag, apply_swap)
        if fault in ("lost", "late"):
            self._reply(name, host, lost, 1.0)

    def _read(self, name: str, action: actions.ReadKey) -> None:
        self.counts["reads"] += 1
        host = self.hosts[name]
        if self._take_fault([]) == "down":
            failed = events.PlatformCallFailed(action.tag, action.key)
            self._reply(name, host, failed, self.platform_delay)
            return

        def look_up() -> None:
            value, revision = self.values.get(action.key, (None, 0))
            event = events.KeyRead(action.tag, action.key, value, revision)
            self._reply(name, host, event, self.platform_delay / 2)

        self.at(self.now + self.platform_delay / 2, look_up)

    def _take_fault(self, faults: list[str]) -> str:
        if self.platform_down:
            return "down"
        return faults.pop(0) if faults else "ok"

    def _send_peer(self, name: str, action: actions.SendPeerMessage) -> None:
        self.counts["peer_messages"] += 1
        target = self.hosts.get(action.node)
        if self.peers_cut or target is None or not target.alive:
            lost = events.PeerMessageUndelivered(action.node, action.message)
            self._reply(name, self.hosts[name], lost, LINK_DELAY)
            return
        event = events.PeerMessageReceived(name, action.message)
        self._reply(action.node, target, event, LINK_DELAY)

    def _call(self, name: str, action: actions.CallService) -> None:
        host = self.hosts[name]
        request, attempt = action.request, action.attempt

        def fail(failure: failures.Failure, delay: float) -> None:
            event = events.ServiceFailed(request, attempt, failure)
            self._reply(name, host, event, delay)

        if self.now >= action.send_by:
            fail(failures.Expired(), 0.0)
            return
        fault = self.service_faults.pop(0) if self.service_faults else "ok"
        match fault:
            case "unreachable":
                fail(failures.Unreachable(), LINK_DELAY)
                return
            case "refuse":
                fail(failures.Refused(), LINK_DELAY)
                return
            case "before":
                fail(failures.Crashed(), LINK_DELAY)
                return
        delay = self.service_delay
        if fault == "late":
            delay = action.timeout + 1.0
            fail(failures.Stalled(), action.timeout)

        def run() -> None:
            number = len(self.journal)
            body = b"run %d" % number + self.answer_body
            entry = Run(self.now, action.upstream, action.record or "", request, body)
            self.journal.append(entry)
            if fault == "late":
                return
            if fault == "after":
                fail(failures.Crashed(), LINK_DELAY)
                return
            answer = events.ServiceAnswered(
                request, attempt, 201, "application/json", body
            )
            self._reply(name, host, answer, LINK_DELAY)

        self.at(self.now + delay, run)

    def _read_outcome(self, name: str, action: actions.ReadOutcome) -> None:
        event = events.OutcomeRead(action.request, action.upstream, None)
        for run in self.journal:
            if run.record == action.record and run.service == action.upstream:
                event = events.OutcomeRead(
                    action.request, action.upstream, 201, "application/json", run.body
                )
        self._reply(name, self.hosts[name], event, LINK_DELAY)


def _make_configuration(count: int, outcome_path: str | None) -> fleet.Configuration:
    services = []
    for index in range(count):
        services.append(
            fleet.ServiceInstance(
                f"register-{index}", "http://x", "mi-1", "register", outcome_path
            )
        )
    accounts = []
    for name in ("courts", "clerks"):
        accounts.append(fleet.ClientAccount(name, (), 1e6, 1e6))
    return fleet.Configuration(
        1,
        "digest",
        services=tuple(services),
        accounts=tuple(accounts),
        service_routes=(fleet.ServiceRoute("register", timeout=ROUTE_TIMEOUT),),
    )
