"""Simulates planners, a platform and engines on a virtual clock, with faults.

The invariants are checked by the engines' journal of accepted orders.
"""

import heapq
import itertools
import random
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain import action as actions
from tarragonrudder.core.domain import event as events
from tarragonrudder.core.domain.fleet import (
    BusyHours,
    Configuration,
    Engine,
    LayerRange,
    Model,
    ModelRoute,
    WeightStore,
)
from tarragonrudder.core.membership.gossip import Gossip
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.placement.placement import (
    Assignment,
    estimate_bound,
    has_chain,
)
from tarragonrudder.core.placement.planner import Planner

LATENCY = 0.005  # seconds, one way
START = 1_796_256_000.0  # 2026-12-03 00:00 UTC
PEAK = START + 900.0
LAYER_COUNT = 12
LAYER_BYTES = 10**9
STORE_RATE = 10**9
RUN_SECONDS = 3.0  # until a draining engine has finished its running work


class OrderViolation(Exception):
    """An invariant of orders or placement was violated."""


@dataclass(frozen=True, slots=True)
class AcceptedOrder:
    """A journal entry of an order that an engine accepted.

    `number` is its fencing token, `running` the work that it interrupted, and
    `chains_left` whether the model it displaced still had a chain.
    """

    at: float
    engine: str
    node: str
    number: int
    running: int
    chains_left: bool


@dataclass
class FakeEngine:
    """A simulated engine; `held` is None while it has no layers loaded."""

    engine: Engine
    held: Assignment | None
    fencing: int = 0
    draining_since: float | None = None
    loads: int = 0
    dead: bool = False

    def count_running(self, now: float) -> int:
        """Return the number of requests that still run."""
        if self.held is None:
            return 0
        if self.draining_since is None or now < self.draining_since + RUN_SECONDS:
            return 3
        return 0


@dataclass
class FakePlatform:
    """A key-value store with leases and faults.

    `down` is the start and end of an outage. The next `lose_writes` writes take
    effect while their responses are lost.
    """

    revision: int = 100
    values: dict[str, tuple[bytes, int, int]] = field(default_factory=dict)
    leases: dict[int, float] = field(default_factory=dict)
    down: tuple[float, float] = (0.0, 0.0)
    lose_writes: int = 0
    latency: float = LATENCY

    def call(self, action: t.Any, asked_at: float, now: float) -> t.Any:
        """Apply a call and return its result event."""
        for lease in [k for k, end in self.leases.items() if end <= now]:
            self.expire_lease(lease)
        key = getattr(action, "key", "")
        if self.down[0] <= now < self.down[1]:
            return events.PlatformCallFailed(action.tag, key)
        match action:
            case actions.ReadKey():
                value, revision, _ = self.values.get(key, (None, 0, 0))
                return events.KeyRead(action.tag, key, value, revision)
            case actions.GrantLease(lease=0):
                lease = 7000 + len(self.leases) + self.revision
                self.leases[lease] = now + action.ttl
                self.revision += 1
                return events.LeaseGranted(action.tag, lease, action.ttl, asked_at)
            case actions.GrantLease(lease=lease):
                if lease not in self.leases:
                    return events.PlatformCallFailed(action.tag, key)
                self.leases[lease] = now + action.ttl
                return events.LeaseGranted(action.tag, lease, action.ttl, asked_at)
        known = self.values.get(key, (b"", 0, 0))[1]
        if known != action.expected or (
            action.lease and action.lease not in self.leases
        ):
            return events.SwapConflicted(action.tag, key)
        self.revision += 1
        self.values[key] = (action.value, self.revision, action.lease)
        if self.lose_writes:
            self.lose_writes -= 1
            return events.SwapOutcomeUnknown(action.tag, key)
        return events.Swapped(action.tag, key, self.revision)

    def expire_lease(self, lease: int) -> None:
        """Expire a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.values.items() if item[2] == lease != 0]:
            del self.values[key]


def make_configuration(checks_fencing: bool) -> Configuration:
    """Return a fleet of two models; ``draft`` needs more engines in its busy hours."""
    models = (
        Model("jury", "1", LAYER_COUNT, LAYER_BYTES),
        Model("draft", "1", LAYER_COUNT, LAYER_BYTES),
    )
    engines = []
    for index in range(10):
        model = "draft" if index >= 8 else "jury"
        first = 6 * (index % 2)
        engines.append(
            Engine(
                f"engine-{index}",
                f"http://engine-{index}",
                "mi-1",
                "l40",
                model,
                "1",
                LayerRange(first, first + 5),
                600.0,
                checks_fencing=checks_fencing,
                movable=True,
            )
        )
    hours = BusyHours(
        "night", "draft", "1", tuple(range(7)), "00:15", "02:00", "UTC", 180.0
    )
    return Configuration(
        1,
        "",
        models,
        tuple(engines),
        model_routes=(ModelRoute("jury", "jury", "1"), ModelRoute("d", "draft", "1")),
        busy_hours=(hours,),
        weight_store=WeightStore(STORE_RATE),
    )


class PlannerFleet:
    """Three nodes, each with a planner, and the engines that they control."""

    def __init__(
        self,
        checks_fencing: bool,
        configuration: Configuration | None = None,
        start: float = START,
    ) -> None:
        if configuration is None:
            configuration = make_configuration(checks_fencing)
        self.configuration = configuration
        self.platform = FakePlatform()
        self.engines = {
            engine.name: FakeEngine(
                engine, Assignment(engine.model, engine.version, engine.layers)
            )
            for engine in self.configuration.engines
        }
        self.journal: list[AcceptedOrder] = []
        self.planners: dict[str, Planner] = {}
        self.frozen: dict[str, list[t.Any]] = {}
        self.freeze_on_order: set[str] = set()
        self.deferred_orders: list[tuple[str, actions.SendOrder]] = []
        self.outcomes: list[str] = []
        self.lose_orders = 0
        self.order_delay = 0.0
        self.answer_delay = 0.0
        self._queue: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._order = itertools.count()
        names = [f"node-{index}" for index in range(3)]
        for index, name in enumerate(names):
            membership = Membership(name, Gossip(random.Random(name)))
            planner = Planner(name, membership)
            planner.configure(self.configuration)
            planner.set_nodes(names)
            self.planners[name] = planner
            self.at(start + 0.3 * index, lambda now, n=name: self._tick(n, now))

    def at(self, when: float, action: t.Callable[[float], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, end: float) -> None:
        """Advance the virtual clock to `end`."""
        while self._queue and self._queue[0][0] < end:
            now, _, action = heapq.heappop(self._queue)
            action(now)

    def find_lease_holder(self, now: float) -> str | None:
        """Return the first node that considers itself the lease holder."""
        for name, planner in self.planners.items():
            if planner.lease.find_fencing_token(now) is not None:
                return name
        return None

    def freeze(self, name: str) -> None:
        """Freeze a node; its events are deferred."""
        self.frozen[name] = []

    def wake(self, name: str, now: float) -> None:
        """Wake a node and deliver its deferred events and orders in order."""
        for event in self.frozen.pop(name, []):
            self._deliver(name, event, now)
        for sender, order in [item for item in self.deferred_orders if item[0] == name]:
            self._send_order(sender, order, now)
        self.deferred_orders = [
            item for item in self.deferred_orders if item[0] != name
        ]

    def measure_bound(self, model: str) -> float:
        """Return a model's throughput bound for the layers that engines have loaded."""
        found = self.configuration.find_model(model, "1")
        assert found is not None
        return estimate_bound(found, self.list_holders(model, ""))

    def check_invariants(self) -> None:
        """Raise ``OrderViolation`` if the journal shows a violated invariant."""
        newest = 0
        previous_nodes: list[str] = []
        for entry in self.journal:
            if entry.node in previous_nodes[:-1]:
                raise OrderViolation(f"an order of a deposed node: {entry}")
            if entry.node not in previous_nodes:
                previous_nodes.append(entry.node)
            if entry.number < newest:
                raise OrderViolation(f"an order of a former planner: {entry}")
            newest = max(newest, entry.number)
            if entry.running:
                raise OrderViolation(f"an engine was not drained: {entry}")
            if not entry.chains_left:
                raise OrderViolation(f"a model lost its last chain: {entry}")

    def _tick(self, name: str, now: float) -> None:
        self.at(now + 1.0, lambda at: self._tick(name, at))
        if name not in self.frozen:
            self._carry_out(name, self.planners[name].tick(now), now)

    def _deliver(self, name: str, event: t.Any, now: float) -> None:
        if name in self.frozen:
            self.frozen[name].append(event)
            return
        self._carry_out(name, self.planners[name].handle(event, now), now)

    def _carry_out(self, name: str, decided: t.Sequence[t.Any], now: float) -> None:
        for action in decided:
            match action:
                case actions.ReadKey() | actions.SwapKey() | actions.GrantLease():
                    self.at(
                        now + self.platform.latency,
                        lambda at, a=action: self._call(name, a, now, at),
                    )
                case actions.ReadEngineState():
                    self.at(
                        now + LATENCY,
                        lambda at, a=action: self._read_engine_state(name, a, at),
                    )
                case actions.SendOrder():
                    if name in self.freeze_on_order:
                        self.deferred_orders.append((name, action))
                        self.freeze(name)
                        self.freeze_on_order.discard(name)
                        continue
                    self._send_order(name, action, now)
                case actions.LogDecision(decision="engine_draining", fields=fields):
                    engine = self.engines[fields["upstream"]]
                    if engine.draining_since is None:
                        engine.draining_since = now + LATENCY

    def _call(self, name: str, action: t.Any, asked_at: float, now: float) -> None:
        event = self.platform.call(action, asked_at, now)
        self.at(now + self.platform.latency, lambda at: self._deliver(name, event, at))

    def _read_engine_state(
        self, name: str, action: actions.ReadEngineState, now: float
    ) -> None:
        engine = self.engines[action.upstream]
        if engine.dead:
            return
        held = engine.held or Assignment("", "", LayerRange(0, -1))
        event = events.EngineStateRead(
            action.upstream,
            held.model,
            held.version,
            held.layers.first,
            held.layers.last,
            engine.count_running(now),
        )
        self.at(now + LATENCY, lambda at: self._deliver(name, event, at))

    def _send_order(self, name: str, order: actions.SendOrder, now: float) -> None:
        if self.lose_orders:
            self.lose_orders -= 1
            self._answer_order(name, order, "lost", now + order.timeout)
            return
        delay = LATENCY + self.order_delay
        self.order_delay = 0.0
        self.at(now + delay, lambda at: self._accept_order(name, order, at))
        if delay + LATENCY + self.answer_delay > order.timeout:
            self._answer_order(name, order, "lost", now + order.timeout)

    def _answer_order(
        self, name: str, order: actions.SendOrder, outcome: str, when: float
    ) -> None:
        event = events.OrderAnswered(order.tag, order.upstream, outcome)
        self.outcomes.append(outcome)
        self.at(when, lambda at: self._deliver(name, event, at))

    def _accept_order(self, name: str, order: actions.SendOrder, now: float) -> None:
        engine = self.engines[order.upstream]
        answered = now + LATENCY + self.answer_delay
        if engine.dead:
            self._answer_order(name, order, "refused", answered)
            return
        if engine.engine.checks_fencing and order.fencing < engine.fencing:
            self._answer_order(name, order, "fenced", answered)
            return
        engine.fencing = max(engine.fencing, order.fencing)
        layers = LayerRange(order.first, order.last)
        changes = engine.held not in (
            None,
            Assignment(order.model, order.version, layers),
        )
        running = engine.count_running(now) if changes else 0
        left = not changes or self._keeps_chain(engine.held.model, order.upstream)
        self.journal.append(
            AcceptedOrder(now, order.upstream, name, order.fencing, running, left)
        )
        self._load(engine, order, now)
        self._answer_order(name, order, "done", answered)

    def _load(self, engine: FakeEngine, order: actions.SendOrder, now: float) -> None:
        layers = LayerRange(order.first, order.last)
        target = Assignment(order.model, order.version, layers)
        if engine.held == target:
            return
        engine.held = None
        engine.loads += 1
        load = engine.loads

        def finish(at: float) -> None:
            if engine.loads == load:
                engine.held = target
                engine.draining_since = None

        found = self.configuration.find_model(order.model, order.version)
        assert found is not None
        # Engines that load at the same time share the weight store's rate.
        sharing = sum(fake.held is None for fake in self.engines.values())
        rate = self.configuration.weight_store.bytes_per_second / sharing
        self.at(now + len(layers) * found.layer_bytes / rate, finish)

    def _keeps_chain(self, model: str, without: str) -> bool:
        found = self.configuration.find_model(model, "1")
        assert found is not None
        return has_chain(found, self.list_holders(model, without))

    def list_holders(self, model: str, without: str) -> list[Engine]:
        """Return the engines that have a model loaded, except `without`."""
        holders = []
        for name, fake in self.engines.items():
            held = fake.held
            if name == without or held is None or fake.dead or held.model != model:
                continue
            engine = fake.engine
            holders.append(
                Engine(
                    name, engine.address, engine.data_center, engine.accelerator,
                    held.model, held.version, held.layers,
                    engine.layer_tokens_per_second,
                )
            )  # fmt: skip
        return holders
