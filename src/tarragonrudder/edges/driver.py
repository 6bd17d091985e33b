"""Connects the core to the clients and ports; makes no decisions itself."""

import logging
import math
import typing as t

import trio

from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain.event import (
    Event,
    NodesListed,
    PeerMessageUndelivered,
    TimerFired,
    UpstreamProbed,
)
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    LeaseGranted,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)
from tarragonrudder.core.node.node import Node
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.clock import Clock
from tarragonrudder.edges.engine import EngineClient
from tarragonrudder.edges.exchange import ExchangeClient
from tarragonrudder.edges.loader import ConfigurationLoader
from tarragonrudder.edges.log_setup import make_failure_log
from tarragonrudder.edges.order_client import OrderClient
from tarragonrudder.edges.peer import PeerClient
from tarragonrudder.edges.platform_client import (
    PlatformClient,
    PlatformError,
    PlatformOutcomeUnknown,
)
from tarragonrudder.edges.service import ServiceClient, ServiceInput
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.store import ConfigurationStore
from tarragonrudder.edges.timer import Timers

Output: t.TypeAlias = (
    actions.EmitTokens
    | actions.EndAnswer
    | actions.FailAnswer
    | actions.AnswerServiceCall
)


OUTPUT_POLL_PERIOD = 0.05  # seconds between checks for open requests


class Driver:
    """Executes the core's actions and passes events to it."""

    def __init__(
        self,
        node: Node,
        clock: Clock,
        platform: PlatformClient,
        logger: logging.Logger,
        metrics: StatsdMetrics,
        peers: PeerClient,
        exchange: ExchangeClient,
    ) -> None:
        self.node = node
        self.stopped = trio.Event()
        self._clock = clock
        self._platform = platform
        self._logger = logger
        self._metrics = metrics
        self._engines = EngineClient(self.post)
        self._services = ServiceClient(self.post, clock.now)
        self._orders = OrderClient(self.post)
        self._peers = peers
        self.loader = ConfigurationLoader(
            ConfigurationStore(platform), exchange, self.post
        )
        self._outputs: dict[str, trio.MemorySendChannel[Output]] = {}
        self._inputs: dict[str, ServiceInput] = {}
        self._attempts: dict[tuple[str, int], trio.CancelScope] = {}
        self._timers = Timers(clock, self._fire_timer)
        self._tasks: BackgroundTasks | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Start the core and execute its actions in a nursery."""
        self._tasks = BackgroundTasks(nursery, make_failure_log(self._logger))
        nursery.start_soon(self._timers.run)
        self._execute_actions(self.node.start(self._clock.now()))

    async def close(self) -> None:
        """Close all clients."""
        await self._engines.close()
        await self._services.close()
        await self._orders.close()
        await self._peers.close()
        await self.loader.close()

    async def wait_stopped(self) -> None:
        """Wait until the core has stopped and all requests are closed."""
        await self.stopped.wait()
        while self._outputs:
            await trio.sleep(OUTPUT_POLL_PERIOD)

    def post(self, event: Event) -> None:
        """Pass an event to the core and execute the actions it returns."""
        if isinstance(event, NodesListed):
            self._peers.set_nodes(event.nodes)
            self.loader.set_nodes(event.nodes)
        self._execute_actions(self.node.handle(event, self._clock.now()))

    def open_request(
        self, request: str, call_input: ServiceInput | None = None
    ) -> trio.MemoryReceiveChannel[Output]:
        """Return the channel that receives a request's output."""
        sender, receiver = trio.open_memory_channel[Output](math.inf)
        self._outputs[request] = sender
        if call_input is not None:
            self._inputs[request] = call_input
        return receiver

    def close_request(self, request: str) -> None:
        """Remove a request's channel and input."""
        self._outputs.pop(request, None)
        self._inputs.pop(request, None)

    def _execute_actions(self, decided: list[actions.Action]) -> None:
        for action in decided:
            self._execute_action(action)

    def _execute_action(self, action: actions.Action) -> None:
        match action:
            case actions.EmitTokens() | actions.EndAnswer():
                self._send_output(action.request, action)
            case actions.FailAnswer() | actions.AnswerServiceCall():
                self._send_output(action.request, action)
            case actions.SetTimer():
                self._timers.set(action.timer, action.at)
            case actions.ClearTimer():
                self._timers.clear(action.timer)
            case actions.StartAttempt():
                self._spawn(self._run_attempt, action)
            case actions.CancelAttempt():
                self._cancel_attempt(action)
            case actions.CallService():
                call_input = self._inputs.get(action.request)
                self._spawn(self._services.call, action, call_input)
            case actions.ReadOutcome():
                self._spawn(self._services.read_outcome, action)
            case actions.ProbeUpstream():
                self._spawn(self._probe_upstream, action)
            case actions.ReadKey():
                self._spawn(self._read_key, action)
            case actions.SwapKey():
                self._spawn(self._swap_key, action)
            case actions.GrantLease():
                self._spawn(self._grant_lease, action)
            case actions.SendOrder():
                self._spawn(self._orders.send, action)
            case actions.ReadEngineState():
                self._spawn(self._orders.read, action)
            case actions.LoadConfiguration():
                self._spawn(self.loader.load, action)
            case actions.CheckFolder():
                self._spawn(self.loader.check, action)
            case actions.QueryPeerGenerations():
                self._spawn(self.loader.query_peers)
            case actions.SendPeerMessage():
                self._spawn(self._send_peer_message, action)
            case actions.LogDecision():
                self._logger.info(action.decision, extra=dict(action.fields))
                self._metrics.count(f"decision.{action.decision}")
            case actions.CountMetric():
                self._metrics.count(action.name, action.amount)
            case actions.StopNode():
                self.stopped.set()

    def _spawn(
        self, function: t.Callable[..., t.Awaitable[None]], *args: t.Any
    ) -> None:
        if self._tasks is None:
            raise RuntimeError("call start before the first event")
        self._tasks.start_soon(function, *args)

    def _send_output(self, request: str, output: Output) -> None:
        sender = self._outputs.get(request)
        if sender is None:
            return
        try:
            sender.send_nowait(output)
        except trio.BrokenResourceError:
            self._outputs.pop(request, None)

    def _fire_timer(self, timer: str) -> None:
        self.post(TimerFired(timer))

    async def _run_attempt(self, action: actions.StartAttempt) -> None:
        key = (action.request, action.attempt)
        with trio.CancelScope() as scope:
            self._attempts[key] = scope
            await self._engines.run_attempt(action)
        self._attempts.pop(key, None)

    def _cancel_attempt(self, action: actions.CancelAttempt) -> None:
        scope = self._attempts.pop((action.request, action.attempt), None)
        if scope is not None:
            scope.cancel()
        self._spawn(self._engines.cancel, action)

    async def _send_peer_message(self, action: actions.SendPeerMessage) -> None:
        if not await self._peers.send(action.node, action.message):
            self.post(PeerMessageUndelivered(action.node, action.message))

    async def _probe_upstream(self, action: actions.ProbeUpstream) -> None:
        answered = await self._engines.probe(
            action.upstream, action.address, action.timeout
        )
        self.post(UpstreamProbed(action.upstream, answered))

    async def _read_key(self, action: actions.ReadKey) -> None:
        try:
            found = await self._platform.get(action.key)
        except PlatformError:
            self.post(PlatformCallFailed(action.tag, action.key))
            return
        value = found.value if found is not None else None
        revision = found.revision if found is not None else 0
        self.post(KeyRead(action.tag, action.key, value, revision))

    async def _swap_key(self, action: actions.SwapKey) -> None:
        try:
            revision = await self._platform.swap(
                action.key,
                action.expected,
                action.value,
                action.lease,
                action.guards,
            )
        except PlatformError:
            self.post(PlatformCallFailed(action.tag, action.key))
            return
        except PlatformOutcomeUnknown:
            self.post(SwapOutcomeUnknown(action.tag, action.key))
            return
        if revision is None:
            self.post(SwapConflicted(action.tag, action.key))
            return
        self.post(Swapped(action.tag, action.key, revision))

    async def _grant_lease(self, action: actions.GrantLease) -> None:
        requested_at = self._clock.now()
        try:
            if action.lease:
                lease = await self._platform.renew(action.lease)
            else:
                lease = await self._platform.grant(action.ttl)
        except (PlatformError, PlatformOutcomeUnknown):
            self.post(PlatformCallFailed(action.tag, ""))
            return
        if lease is None:
            self.post(PlatformCallFailed(action.tag, ""))
            return
        self.post(LeaseGranted(action.tag, lease.id, lease.ttl, requested_at))
