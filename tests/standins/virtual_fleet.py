"""Simulates nodes, engines and callers on a virtual clock.

The nodes' cores make all decisions in ``Node.handle``. This module only executes
their actions, delayed or not at all where a fault is set.
"""

import hashlib
import heapq
import itertools
import random
import typing as t
from dataclasses import dataclass, field

import orjson

from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain.configuration_event import ConfigurationLoaded
from tarragonrudder.core.domain.event import (
    CallerDisconnected,
    ChatRequested,
    Event,
    NodeAddress,
    NodesListed,
    PeerMessageReceived,
    PeerMessageUndelivered,
    TimerFired,
    VirtualMachine,
    VmsListed,
)
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.core.domain.platform_event import PlatformCallFailed
from tarragonrudder.core.node.node import Node, NodeOptions
from tests.invariants import CallerClosed, Completed, ConnectionLost, Failed, Receipt
from tests.standins.virtual_engines import EngineFleet

NODE_DELAY = 0.0005  # seconds between a node and an upstream or a peer
PLATFORM_DELAY = 0.005  # seconds
Perturbation: t.TypeAlias = t.Callable[[Event], list[tuple[float, Event]]]


@dataclass(slots=True)
class _SimulatedNode:
    core: Node
    state: str = "up"  # up, frozen or dead
    timers: dict[str, int] = field(default_factory=dict)
    deferred: list[t.Callable[[], None]] = field(default_factory=list)


@dataclass(slots=True)
class Caller:
    """A caller's request, what it received, and when."""

    node: str
    messages: list[dict[str, str]]
    receipt: Receipt
    asked_at: float
    times: list[float] = field(default_factory=list)
    ended_at: float | None = None

    @property
    def longest_gap(self) -> float:
        """Longest time between two successive tokens, in seconds."""
        pairs = zip(self.times, self.times[1:], strict=False)
        return max((later - sooner for sooner, later in pairs), default=0.0)


class VirtualFleet:
    """Nodes, engines and callers of one run, reproducible by its `seed`."""

    def __init__(
        self, configuration: Configuration, node_count: int = 3, seed: int = 0
    ) -> None:
        self.now = 100.0
        self.journal: list[dict[str, t.Any]] = []
        self.callers: dict[str, Caller] = {}
        self.decisions: list[tuple[float, str, actions.LogDecision]] = []
        self.peer_messages = 0
        self.peer_loss = 0.0
        self.partitioned = False
        self.platform_delay = PLATFORM_DELAY
        self.perturb: Perturbation | None = None
        self.random = random.Random(seed)
        self.configuration = configuration
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = itertools.count()
        self.engines = EngineFleet(self, configuration)
        self.nodes: dict[str, _SimulatedNode] = {}
        names = [f"node-{index}" for index in range(node_count)]
        self._addresses = tuple(NodeAddress(name, "", "dc-1") for name in names)
        for name in names:
            self.start_node(name)

    def start_node(self, name: str) -> None:
        """Start a node without any state, in place of any of the same name."""
        source = random.Random(self.random.random())
        simulated_node = _SimulatedNode(Node(NodeOptions(name, "dc-1"), source))
        self.nodes[name] = simulated_node
        self._carry_out(name, simulated_node.core.start(self.now))
        self.deliver(name, ConfigurationLoaded(self.configuration))
        self.deliver(name, NodesListed(self._addresses))

    def schedule(self, delay: float, call: t.Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        entry = (self.now + delay, next(self._order), call)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def run_until(self, check: t.Callable[[], bool], seconds: float = 60.0) -> None:
        """Advance the virtual clock until a condition holds.

        Raises
        ------
        TimeoutError
            The condition does not hold within `seconds`.
        """
        end = self.now + seconds
        while not check():
            if not self._queue or self._queue[0][0] > end:
                raise TimeoutError("the condition did not come to hold")
            self.now, _, call = heapq.heappop(self._queue)
            call()

    def write(self, kind: str, **fields: t.Any) -> None:
        """Append a journal entry."""
        self.journal.append({"time": self.now, "kind": kind, **fields})

    def deliver(self, name: str, event: Event) -> None:
        """Deliver an event to a node; a frozen one handles it when it wakes."""
        simulated_node = self.nodes[name]
        if simulated_node.state == "dead":
            return
        if simulated_node.state == "frozen":
            simulated_node.deferred.append(lambda: self.deliver(name, event))
            return
        self._carry_out(name, simulated_node.core.handle(event, self.now))

    def post(self, name: str, event: Event, delay: float = NODE_DELAY) -> None:
        """Deliver an upstream's event after a delay, altered by any perturbation."""
        parts = [(0.0, event)]
        if self.perturb is not None:
            parts = self.perturb(event)
        for extra, part in parts:
            self.schedule(delay + extra, lambda part=part: self.deliver(name, part))

    def ask(self, node: str, text: str, length: int = 20) -> str:
        """Send a chat request to a node; return the request's name."""
        request = f"request-{len(self.callers) + 1}"
        messages = [{"role": "user", "content": text}]
        prompt = orjson.dumps(messages, option=orjson.OPT_SORT_KEYS)
        fingerprint = hashlib.sha256(b"courts\0jury\0" + prompt).hexdigest()
        receipt = Receipt(request, messages, length)
        self.callers[request] = Caller(node, messages, receipt, self.now)
        if self.nodes[node].state == "dead":
            receipt.ending = ConnectionLost()
            return request
        event = ChatRequested(request, "courts", "jury", prompt, length, fingerprint)
        self.deliver(node, event)
        return request

    def disconnect_caller(self, request: str) -> None:
        """Close a caller's connection."""
        caller = self.callers[request]
        if caller.receipt.ending is None:
            caller.receipt.ending = CallerClosed()
            self.deliver(caller.node, CallerDisconnected(request))

    @property
    def receipts(self) -> list[Receipt]:
        """Receipts of all callers."""
        return [caller.receipt for caller in self.callers.values()]

    def kill_node(self, name: str) -> None:
        """Kill a node, which breaks its callers' connections."""
        self.nodes[name].state = "dead"
        for caller in self.callers.values():
            if caller.node == name and caller.receipt.ending is None:
                caller.receipt.ending = ConnectionLost()
        self.engines.drop_node(name)

    def _stop_node(self, name: str) -> None:
        """End a node's process, which breaks the connections still open."""
        if self.nodes[name].state == "dead":
            return
        self.write("stopped", node=name)
        self.kill_node(name)

    def freeze_node(self, name: str) -> None:
        """Freeze a node as SIGSTOP does."""
        self.nodes[name].state = "frozen"

    def wake_node(self, name: str) -> None:
        """Wake a frozen node and run what was deferred."""
        simulated_node = self.nodes[name]
        simulated_node.state = "up"
        deferred, simulated_node.deferred = simulated_node.deferred, []
        for call in deferred:
            call()

    def list_vms(self, *leaving: str, nodes: t.Sequence[str] = ()) -> None:
        """Send a new list of VMs, some of them leaving, to nodes (default: all)."""
        vms = []
        for engine in self.configuration.engines:
            away = engine.name in leaving
            vms.append(VirtualMachine(engine.name, "", "dc-1", away))
        for name in nodes or self.nodes:
            self.deliver(name, VmsListed(tuple(vms)))

    def _carry_out(self, name: str, decided: list[actions.Action]) -> None:
        for action in decided:
            self._carry_out_one(name, action)

    def _carry_out_one(self, name: str, action: actions.Action) -> None:
        match action:
            case actions.StartAttempt():
                self.schedule(NODE_DELAY, lambda: self.engines.start(name, action))
            case actions.CancelAttempt():
                self.schedule(NODE_DELAY, lambda: self.engines.cancel(action))
            case actions.ProbeUpstream():
                self.engines.probe(name, action)
            case actions.EmitTokens() | actions.EndAnswer() | actions.FailAnswer():
                self._receive(action)
            case actions.SetTimer():
                self._set_timer(name, action)
            case actions.ClearTimer():
                self.nodes[name].timers.pop(action.timer, None)
            case actions.SendPeerMessage():
                self._send_peer(name, action)
            case actions.LogDecision():
                self.decisions.append((self.now, name, action))
            case actions.StopNode():
                self._stop_node(name)
            case actions.ReadKey() | actions.SwapKey():
                event = PlatformCallFailed(action.tag, action.key)
                self.schedule(self.platform_delay, lambda: self.deliver(name, event))
            case actions.GrantLease():
                lost = PlatformCallFailed(action.tag, "")
                self.schedule(self.platform_delay, lambda: self.deliver(name, lost))

    def _receive(
        self, action: actions.EmitTokens | actions.EndAnswer | actions.FailAnswer
    ) -> None:
        caller = self.callers[action.request]
        receipt = caller.receipt
        if receipt.ending is not None:
            return
        match action:
            case actions.EmitTokens():
                for token in action.tokens:
                    receipt.tokens.append(token.text)
                    caller.times.append(self.now)
                return
            case actions.EndAnswer():
                receipt.ending = Completed(action.finish_reason)
            case actions.FailAnswer():
                problem = action.problem
                receipt.ending = Failed(
                    problem.kind, problem.run_state.value, problem.retry_after
                )
        caller.ended_at = self.now

    def _set_timer(self, name: str, action: actions.SetTimer) -> None:
        simulated_node = self.nodes[name]
        number = next(self._order)
        simulated_node.timers[action.timer] = number
        delay = max(0.0, action.at - self.now)
        self.schedule(
            delay, lambda: self._fire(name, simulated_node, action.timer, number)
        )

    def _fire(
        self, name: str, simulated_node: _SimulatedNode, timer: str, number: int
    ) -> None:
        if (
            self.nodes[name] is not simulated_node
            or simulated_node.timers.get(timer) != number
        ):
            return
        if simulated_node.state == "frozen":
            simulated_node.deferred.append(
                lambda: self._fire(name, simulated_node, timer, number)
            )
            return
        del simulated_node.timers[timer]
        self.deliver(name, TimerFired(timer))

    def _send_peer(self, name: str, action: actions.SendPeerMessage) -> None:
        self.peer_messages += 1
        lost = self.partitioned or self.random.random() < self.peer_loss
        if lost or self.nodes[action.node].state == "dead":
            event: Event = PeerMessageUndelivered(action.node, action.message)
            self.schedule(2.0, lambda: self.deliver(name, event))
            return
        reached = PeerMessageReceived(name, action.message)
        self.schedule(NODE_DELAY, lambda: self.deliver(action.node, reached))
