"""The planner: has engines loaded ahead of the calendar's busy hours.

Every node reads the placement record; the holder of the planner's lease also
changes it. Nothing that serves a request waits for any of this.
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
    Record,
    decode_record,
    encode_record,
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
RECORD_READ_PERIOD = 60.0  # seconds; the watch brings changes sooner
RECORD_WRITE_PERIOD = 5.0  # seconds
PLAN_PERIOD = 10.0  # seconds
FIRST_PLAN_DELAY = 3.0  # seconds in which engines tell a new planner what they hold
PLAN_HORIZON = 24 * 3600.0  # seconds
MAX_PLANS_KEPT = 32
LOAD_MARGIN = 120.0  # seconds between the end of the loading and the peak
SILENT_PERIOD = 30.0  # seconds after which an engine that says nothing is left
AUDIT_PER_TICK = 8  # engines asked what they hold
CANDIDATE_COUNT = 3  # nodes that try to take the lease

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
class _Inputs:
    configuration: Configuration
    current: Placement
    demand: t.Mapping[str, float]


class Planner:
    """Reads the placement; plans and orders it while it holds the lease."""

    def __init__(
        self, name: str, membership: Membership, bound: Bound = estimate_bound
    ) -> None:
        self._name = name
        self._membership = membership
        self._bound = bound
        self._configuration = Configuration()
        self._candidates: frozenset[str] = frozenset()
        self._record = Record(0, 0, {})
        self._known: dict[str, Assignment | None] = {}
        self._heard: dict[str, float] = {}
        self._target: Placement = {}
        self._number: int | None = None
        self._planned_at = 0.0
        self._read_at = 0.0
        self._written_at = 0.0
        self._ahead: dict[float, tuple[_Inputs, Placement]] = {}
        self._audited = 0
        self._stopping = False
        self.lease = PlannerLease(name)
        self.transitions = Transitions(self.lease, membership)

    @property
    def revision(self) -> int:
        """Revision of the placement record in use."""
        return self._record.revision

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""
        self._configuration = configuration
        self._planned_at = 0.0

    def set_nodes(self, names: t.Iterable[str]) -> None:
        """Replace the list of live nodes; a few of them may plan."""
        ranked = rank_nodes("planner", names)
        self._candidates = frozenset(ranked[:CANDIDATE_COUNT])

    def place_engines(self) -> tuple[Engine, ...]:
        """Return the configured engines as the record places them."""
        return tuple(apply_placement(self._configuration.engines, self._record.placed))

    def stop(self) -> list[Action]:
        """Plan no more: another node takes over when the lease has lapsed."""
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
        if not self._check_lease(now):
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
        """Handle an answer of the platform or of an engine."""
        match event:
            case OrderAnswered():
                return self.transitions.merge_answer(event, now)
            case EngineStateRead():
                if self._check_lease(now):
                    self._known[event.upstream] = read_assignment(event)
                    self._heard[event.upstream] = now
                return self.transitions.merge_holding(event, now)
            case PlatformCallFailed() | SwapConflicted() | SwapOutcomeUnknown() if (
                event.tag == RECORD_TAG
            ):
                # The next read tells what stands.
                self._read_at = 0.0
                return []
            case KeyRead(tag=tag) if tag == RECORD_TAG:
                return self._merge_record(event)
            case Swapped(tag=tag) if tag == RECORD_TAG:
                self._read_at = 0.0
                return []
        if event.tag == LEASE_TAG:
            return self.lease.handle(event, now)
        return []

    def _check_lease(self, now: float) -> bool:
        """Tell whether this node plans; start afresh when that has changed."""
        number = self.lease.find_number(now)
        if number != self._number:
            self._number = number
            self._known = {}
            self._heard = {}
            self._target = {}
            self._planned_at = now - PLAN_PERIOD + FIRST_PLAN_DELAY
            self.transitions.clear()
        return number is not None

    def _list_movable(self) -> list[Engine]:
        return [engine for engine in self._configuration.engines if engine.movable]

    def _audit(self, movable: list[Engine]) -> list[Action]:
        actions: list[Action] = []
        for _ in range(min(AUDIT_PER_TICK, len(movable))):
            self._audited += 1
            engine = movable[self._audited % len(movable)]
            if engine.name not in self.transitions:
                actions.append(
                    ReadEngineState(engine.name, engine.address, READ_TIMEOUT)
                )
        return actions

    def _forget_silent(self, count: int, now: float) -> None:
        """Leave engines alone that have not said lately what they hold."""
        round_trip = count / AUDIT_PER_TICK
        for name, at in list(self._heard.items()):
            if now - at > SILENT_PERIOD + 2 * round_trip:
                del self._heard[name]
                del self._known[name]
                self.transitions.drop(name)

    def _plan(self, now: float) -> Placement:
        """Return what the engines should hold now."""
        current = {}
        fixed = []
        for engine in self._configuration.engines:
            if engine.movable and engine.name in self._known:
                current[engine.name] = self._find_desired(engine)
                fixed.append(engine)
                continue
            placed = apply_placement([engine], self._record.placed)[0]
            # An engine that has not said what it holds is left alone.
            fixed.append(replace(placed, movable=False))
        known = replace(self._configuration, engines=tuple(fixed))
        demand = sum_demand(known.busy_hours, now)
        target = plan_placement(known, current, demand, self._bound)
        made = False
        for period in list_periods(known.busy_hours, now, now + PLAN_HORIZON):
            if period.start <= now:
                continue
            coming = sum_demand(known.busy_hours, period.start)
            if all(rate <= demand.get(name, 0.0) for name, rate in coming.items()):
                continue
            for name, rate in demand.items():
                coming[name] = max(rate, coming.get(name, 0.0))
            inputs = _Inputs(known, target, coming)
            if made and not self._is_planned(period.start, inputs):
                # The node serves meanwhile; the next tick goes on.
                self._planned_at = 0.0
                break
            made = made or not self._is_planned(period.start, inputs)
            ahead = self._plan_ahead(period.start, inputs)
            moves = list_moves(known, current, ahead)
            if period.start - measure_lead(known, moves) <= now:
                target = ahead
                demand = coming
        return target

    def _plan_ahead(self, start: float, inputs: _Inputs) -> Placement:
        """Plan for a peak; an unchanged plan is not made again."""
        if self._is_planned(start, inputs):
            return self._ahead[start][1]
        placed = plan_placement(
            inputs.configuration, inputs.current, inputs.demand, self._bound
        )
        if len(self._ahead) >= MAX_PLANS_KEPT:
            self._ahead.clear()
        self._ahead[start] = (inputs, placed)
        return placed

    def _is_planned(self, start: float, inputs: _Inputs) -> bool:
        known = self._ahead.get(start)
        return known is not None and known[0] == inputs

    def _find_desired(self, engine: Engine) -> Assignment:
        """Return what an engine should hold, whatever it does hold."""
        desired = self._target.get(engine.name) or self._record.placed.get(engine.name)
        return desired or Assignment(engine.model, engine.version, engine.layers)

    def _begin_moves(self, now: float) -> list[Action]:
        actions: list[Action] = []
        held = {name: item for name, item in self._known.items() if item is not None}
        for move in list_moves(self._configuration, held, self._target):
            if len(self.transitions) >= MAX_MOVES:
                break
            if move.engine in self.transitions or move.engine not in self._known:
                continue
            if not self._may_leave(move.engine, now):
                continue
            actions.extend(self.transitions.begin(move, now))
        return actions

    def _may_leave(self, name: str, now: float) -> bool:
        """Tell whether each model in use keeps a chain without an engine."""
        if self._known.get(name) is None:
            return True
        lacking = self.transitions.engines | self._membership.unusable(now)
        usable = []
        for engine in self._configuration.engines:
            if engine.name == name or engine.name in lacking:
                continue
            if engine.movable and self._known.get(engine.name) is None:
                continue
            usable.extend(apply_placement([engine], self._list_held()))
        served = list_served(self._configuration)
        for model in self._configuration.models:
            if f"{model.name}@{model.version}" not in served:
                continue
            if has_chain(model, usable):
                continue
            held = self._known[name]
            if held is not None and (held.model, held.version) == (
                model.name,
                model.version,
            ):
                return False
        return True

    def _list_held(self) -> dict[str, Assignment]:
        return {name: item for name, item in self._known.items() if item is not None}

    def _write_record(self, now: float) -> list[Action]:
        placed = dict(self._record.placed)
        placed.update(self.transitions.list_confirmed())
        fresh = self._record.number == self._number
        if fresh and placed == self._record.placed:
            for name in self.transitions.list_confirmed():
                self.transitions.drop(name)
            return []
        if now - self._written_at < RECORD_WRITE_PERIOD or self._number is None:
            return []
        if self.lease.measure_time_left(now) <= ORDER_TIMEOUT:
            return []
        self._written_at = now
        value = encode_record(self._number, placed)
        return [SwapKey(RECORD_TAG, RECORD_KEY, self._record.revision, value)]

    def _merge_record(self, event: KeyRead) -> list[Action]:
        if event.value is None or event.revision <= self._record.revision:
            return []
        try:
            self._record = decode_record(event.value, event.revision)
        except (ValueError, KeyError, TypeError, zlib.error) as error:
            return [LogDecision("placement_unreadable", {"reason": str(error)})]
        fields = {"revision": event.revision, "engines": len(self._record.placed)}
        return [LogDecision("placement_adopted", fields)]


def measure_lead(configuration: Configuration, moves: t.Sequence[Move]) -> float:
    """Return the seconds before a peak at which its loading has to begin.

    All that loads at once shares the weight store's rate, so that the bytes
    count in total; drains of ``MAX_MOVES`` engines run side by side.
    """
    if not moves:
        return 0.0
    size = sum(move.size for move in moves)
    loading = size / configuration.weight_store.bytes_per_second
    rounds = -(-len(moves) // MAX_MOVES)
    return loading + rounds * 2 * DRAIN_PERIOD + LOAD_MARGIN
