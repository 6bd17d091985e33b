"""The planner: places engines ahead of the busy hours in the calendar.

Every node reads the placement record; only the holder of the planner's lease
changes it. No request waits for any of this.
"""

import typing as t
import zlib
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.action import (
    Action,
    LogDecision,
    ReadEngineState,
    ReadKey,
    SwapKey,
)
from tarragonrudder.core.domain.event import EngineStateRead, OrderAnswered
from tarragonrudder.core.domain.fleet import Configuration, Engine
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    LeaseGranted,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)
from tarragonrudder.core.domain.rendezvous import rank_nodes
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.placement.lease import TAG as LEASE_TAG
from tarragonrudder.core.placement.lease import PlannerLease
from tarragonrudder.core.placement.placement import (
    Assignment,
    Bound,
    Move,
    Placement,
    apply_placement,
    estimate_bound,
    has_chain,
    list_moves,
    list_served,
    plan_placement,
)
from tarragonrudder.core.placement.placement_record import (
    PlacementRecord,
    decode_placement_record,
    encode_placement_record,
)
from tarragonrudder.core.placement.schedule import list_periods, sum_demand
from tarragonrudder.core.placement.transition import (
    DRAIN_PERIOD,
    MAX_MOVES,
    ORDER_TIMEOUT,
    READ_TIMEOUT,
    Transitions,
    read_assignment,
)

RECORD_KEY = "/tarragonrudder/control/placement"  # under the watched prefix
RECORD_TAG = "planner-record"
RECORD_READ_PERIOD = 60.0  # seconds; the watch reports changes sooner
RECORD_WRITE_PERIOD = 5.0  # seconds
PLAN_PERIOD = 10.0  # seconds
FIRST_PLAN_DELAY = 3.0  # seconds for engines to report their layers to a new planner
PLAN_HORIZON = 24 * 3600.0  # seconds
MAX_PLANS_KEPT = 32
LOAD_MARGIN = 120.0  # seconds between the end of the loading and the peak
SILENT_PERIOD = 30.0  # seconds after which an unresponsive engine is forgotten
AUDIT_PER_TICK = 8  # engines whose layers are read back in each tick
CANDIDATE_COUNT = 3  # nodes that try to acquire the lease

PlannerEvent: t.TypeAlias = (
    LeaseGranted
    | PlatformCallFailed
    | KeyRead
    | SwapConflicted
    | SwapOutcomeUnknown
    | Swapped
    | OrderAnswered
    | EngineStateRead
)


@dataclass(frozen=True, slots=True)
class _PlanInputs:
    configuration: Configuration
    current: Placement
    demand: t.Mapping[str, float]


class Planner:
    """Reads the placement record; plans and orders moves while it holds the lease."""

    def __init__(
        self, name: str, membership: Membership, bound: Bound = estimate_bound
    ) -> None:
        self._name = name
        self._membership = membership
        self._bound = bound
        self._configuration = Configuration()
        self._candidates: frozenset[str] = frozenset()
        self._record = PlacementRecord(0, 0, {})
        self._holdings: dict[str, Assignment | None] = {}
        self._reported_at: dict[str, float] = {}
        self._target: Placement = {}
        self._fencing_token: int | None = None
        self._planned_at = 0.0
        self._read_at = 0.0
        self._written_at = 0.0
        self._peak_plans: dict[float, tuple[_PlanInputs, Placement]] = {}
        self._audit_index = 0
        self._stopping = False
        self.lease = PlannerLease(name)
        self.transitions = Transitions(self.lease, membership)

    @property
    def revision(self) -> int:
        """Revision of the placement record in use."""
        return self._record.revision

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; the next tick plans again."""
        self._configuration = configuration
        self._planned_at = 0.0

    def set_nodes(self, names: t.Iterable[str]) -> None:
        """Replace the list of live nodes; the highest-ranked ones are candidates."""
        ranked = rank_nodes("planner", names)
        self._candidates = frozenset(ranked[:CANDIDATE_COUNT])

    def place_engines(self) -> tuple[Engine, ...]:
        """Return the configured engines as the record places them."""
        return tuple(apply_placement(self._configuration.engines, self._record.placed))

    def stop(self) -> list[Action]:
        """Stop planning; another node takes over when the lease has expired."""
        self._stopping = True
        self.transitions.clear()
        return self.lease.give_up("the node is shutting down")

    def tick(self, now: float) -> list[Action]:
        """Do the periodic work, once a second."""
        movable = self._list_movable()
        actions: list[Action] = []
        if movable and now - self._read_at >= RECORD_READ_PERIOD:
            self._read_at = now
            actions.append(ReadKey(RECORD_TAG, RECORD_KEY))
        candidate = bool(movable) and self._name in self._candidates
        candidate = candidate and not self._stopping
        actions.extend(self.lease.tick(now, candidate))
        if not self._refresh_lease(now):
            return actions
        actions.extend(self._audit(movable))
        self._forget_silent(len(movable), now)
        if now - self._planned_at >= PLAN_PERIOD:
            self._planned_at = now
            self._target = self._plan(now)
        actions.extend(self._begin_moves(now))
        for engine in movable:
            if engine.name in self.transitions:
                actions.extend(
                    self.transitions.advance(
                        engine, now, lambda name: self._may_leave(name, now)
                    )
                )
        actions.extend(self._write_record(now))
        return actions

    def handle(self, event: PlannerEvent, now: float) -> list[Action]:
        """Handle an answer from the platform or an engine."""
        match event:
            case OrderAnswered():
                return self.transitions.handle_order_answer(event, now)
            case EngineStateRead():
                if self._refresh_lease(now):
                    self._holdings[event.upstream] = read_assignment(event)
                    self._reported_at[event.upstream] = now
                return self.transitions.handle_engine_state(event, now)
            case PlatformCallFailed() | SwapConflicted() | SwapOutcomeUnknown() if (
                event.tag == RECORD_TAG
            ):
                # Read the record again at the next tick.
                self._read_at = 0.0
                return []
            case KeyRead(tag=tag) if tag == RECORD_TAG:
                return self._handle_record(event)
            case Swapped(tag=tag) if tag == RECORD_TAG:
                self._read_at = 0.0
                return []
        if event.tag == LEASE_TAG:
            return self.lease.handle(event, now)
        return []

    def _refresh_lease(self, now: float) -> bool:
        """Tell whether this node is the planner; reset the state on a change."""
        fencing_token = self.lease.find_fencing_token(now)
        if fencing_token != self._fencing_token:
            self._fencing_token = fencing_token
            self._holdings = {}
            self._reported_at = {}
            self._target = {}
            self._planned_at = now - PLAN_PERIOD + FIRST_PLAN_DELAY
            self.transitions.clear()
        return fencing_token is not None

    def _list_movable(self) -> list[Engine]:
        return [engine for engine in self._configuration.engines if engine.movable]

    def _audit(self, movable: list[Engine]) -> list[Action]:
        actions: list[Action] = []
        for _ in range(min(AUDIT_PER_TICK, len(movable))):
            self._audit_index += 1
            engine = movable[self._audit_index % len(movable)]
            if engine.name not in self.transitions:
                actions.append(
                    ReadEngineState(engine.name, engine.address, READ_TIMEOUT)
                )
        return actions

    def _forget_silent(self, count: int, now: float) -> None:
        """Forget engines that have not reported their layers lately."""
        # Each tick, one second apart, reads back `AUDIT_PER_TICK` engines.
        audit_ticks = count / AUDIT_PER_TICK
        for name, at in list(self._reported_at.items()):
            if now - at > SILENT_PERIOD + 2 * audit_ticks:
                del self._reported_at[name]
                del self._holdings[name]
                self.transitions.drop(name)

    def _plan(self, now: float) -> Placement:
        """Return the placement for the present demand and the peaks to prepare for."""
        current = {}
        planned_engines = []
        for engine in self._configuration.engines:
            if engine.movable and engine.name in self._holdings:
                current[engine.name] = self._find_desired(engine)
                planned_engines.append(engine)
                continue
            placed = apply_placement([engine], self._record.placed)[0]
            # An engine that has not reported its layers is not moved.
            planned_engines.append(replace(placed, movable=False))
        planned_configuration = replace(
            self._configuration, engines=tuple(planned_engines)
        )
        demand = sum_demand(planned_configuration.busy_hours, now)
        target = plan_placement(planned_configuration, current, demand, self._bound)
        computed = False
        for period in list_periods(
            planned_configuration.busy_hours, now, now + PLAN_HORIZON
        ):
            if period.start <= now:
                continue
            peak_demand = sum_demand(planned_configuration.busy_hours, period.start)
            if all(rate <= demand.get(name, 0.0) for name, rate in peak_demand.items()):
                continue
            for name, rate in demand.items():
                peak_demand[name] = max(rate, peak_demand.get(name, 0.0))
            inputs = _PlanInputs(planned_configuration, target, peak_demand)
            if computed and not self._is_planned(period.start, inputs):
                # Compute one peak per tick, so that the node can serve meanwhile.
                self._planned_at = 0.0
                break
            computed = computed or not self._is_planned(period.start, inputs)
            peak_placement = self._plan_peak(period.start, inputs)
            moves = list_moves(planned_configuration, current, peak_placement)
            if period.start - compute_lead_time(planned_configuration, moves) <= now:
                target = peak_placement
                demand = peak_demand
        return target

    def _plan_peak(self, start: float, inputs: _PlanInputs) -> Placement:
        """Return the plan for a peak; it is cached while its inputs are the same."""
        if self._is_planned(start, inputs):
            return self._peak_plans[start][1]
        placed = plan_placement(
            inputs.configuration, inputs.current, inputs.demand, self._bound
        )
        if len(self._peak_plans) >= MAX_PLANS_KEPT:
            self._peak_plans.clear()
        self._peak_plans[start] = (inputs, placed)
        return placed

    def _is_planned(self, start: float, inputs: _PlanInputs) -> bool:
        cached = self._peak_plans.get(start)
        return cached is not None and cached[0] == inputs

    def _find_desired(self, engine: Engine) -> Assignment:
        """Return what an engine should hold by target, record or configuration."""
        desired = self._target.get(engine.name) or self._record.placed.get(engine.name)
        return desired or Assignment(engine.model, engine.version, engine.layers)

    def _begin_moves(self, now: float) -> list[Action]:
        actions: list[Action] = []
        held = {name: item for name, item in self._holdings.items() if item is not None}
        for move in list_moves(self._configuration, held, self._target):
            if len(self.transitions) >= MAX_MOVES:
                break
            if move.engine in self.transitions or move.engine not in self._holdings:
                continue
            if not self._may_leave(move.engine, now):
                continue
            actions.extend(self.transitions.begin(move, now))
        return actions

    def _may_leave(self, name: str, now: float) -> bool:
        """Tell whether each served model keeps a chain without an engine."""
        if self._holdings.get(name) is None:
            return True
        unavailable = self.transitions.engines | self._membership.list_unusable(now)
        usable = []
        for engine in self._configuration.engines:
            if engine.name == name or engine.name in unavailable:
                continue
            if engine.movable and self._holdings.get(engine.name) is None:
                continue
            usable.extend(apply_placement([engine], self._list_held()))
        served = list_served(self._configuration)
        for model in self._configuration.models:
            if f"{model.name}@{model.version}" not in served:
                continue
            if has_chain(model, usable):
                continue
            held = self._holdings[name]
            if held is not None and (held.model, held.version) == (
                model.name,
                model.version,
            ):
                return False
        return True

    def _list_held(self) -> dict[str, Assignment]:
        return {name: item for name, item in self._holdings.items() if item is not None}

    def _write_record(self, now: float) -> list[Action]:
        placed = dict(self._record.placed)
        placed.update(self.transitions.list_confirmed())
        is_own_record = self._record.fencing_token == self._fencing_token
        if is_own_record and placed == self._record.placed:
            for name in self.transitions.list_confirmed():
                self.transitions.drop(name)
            return []
        if now - self._written_at < RECORD_WRITE_PERIOD or self._fencing_token is None:
            return []
        if self.lease.measure_time_left(now) <= ORDER_TIMEOUT:
            return []
        self._written_at = now
        value = encode_placement_record(self._fencing_token, placed)
        return [SwapKey(RECORD_TAG, RECORD_KEY, self._record.revision, value)]

    def _handle_record(self, event: KeyRead) -> list[Action]:
        if event.value is None or event.revision <= self._record.revision:
            return []
        try:
            self._record = decode_placement_record(event.value, event.revision)
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            return [LogDecision("placement_unreadable", {"reason": str(error)})]
        fields = {"revision": event.revision, "engines": len(self._record.placed)}
        return [LogDecision("placement_adopted", fields)]


def compute_lead_time(configuration: Configuration, moves: t.Sequence[Move]) -> float:
    """Return the seconds before a peak at which its moves have to begin.

    Concurrent loads share the weight store's throughput, so the time depends on
    the total bytes; up to ``MAX_MOVES`` engines drain at the same time.
    """
    if not moves:
        return 0.0
    size = sum(move.size for move in moves)
    loading = size / configuration.weight_store.bytes_per_second
    rounds = -(-len(moves) // MAX_MOVES)
    return loading + rounds * 2 * DRAIN_PERIOD + LOAD_MARGIN
