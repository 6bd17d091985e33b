"""Moves of engines: drain, order, read back, until the engine holds its target."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.action import (
    Action,
    LogDecision,
    ReadEngineState,
    SendOrder,
)
from tarragonrudder.core.domain.event import EngineStateRead, OrderAnswered
from tarragonrudder.core.domain.fleet import Engine, LayerRange
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.placement.lease import LEASE_TTL, PlannerLease
from tarragonrudder.core.placement.placement import Assignment, Move

ORDER_TIMEOUT = 2.0  # seconds
READ_TIMEOUT = 2.0  # seconds
DRAIN_PERIOD = 6.0  # seconds until all nodes know that an engine is leaving
REMIND_PERIOD = 20.0  # seconds between announcements that it is leaving
REPEAT_PERIOD = 10.0  # seconds until an order without effect is sent again
MAX_MOVES = 4  # engines that move at once


@dataclass(frozen=True, slots=True)
class Draining:
    """The engine finishes what it runs."""


@dataclass(frozen=True, slots=True)
class Ordered:
    """An order is on its way."""


@dataclass(frozen=True, slots=True)
class Loading:
    """The order was taken, or its answer was lost."""


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The engine holds its target; the record is yet to be written."""


Phase: t.TypeAlias = Draining | Ordered | Loading | Confirmed


@dataclass(frozen=True, slots=True)
class Transition:
    """One engine's move.

    Attributes
    ----------
    since : float
        When the phase began.
    announced_at : float
        When the other nodes were last told that the engine is leaving.
    running : int or None
        Answers that the engine said it runs, None while it has not said.
    """

    move: Move
    phase: Phase
    since: float
    announced_at: float
    running: int | None = None


class Transitions:
    """Moves in progress; only the holder of the lease has any."""

    def __init__(self, lease: PlannerLease, membership: Membership) -> None:
        self._lease = lease
        self._membership = membership
        self._items: dict[str, Transition] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, engine: str) -> bool:
        return engine in self._items

    @property
    def engines(self) -> frozenset[str]:
        """Names of the engines that move."""
        return frozenset(self._items)

    def clear(self) -> None:
        """Forget all moves; what was ordered stays ordered."""
        self._items.clear()

    def drop(self, engine: str) -> None:
        """Forget one move."""
        self._items.pop(engine, None)

    def list_confirmed(self) -> dict[str, Assignment]:
        """Return what engines have taken over."""
        return {
            name: item.move.after
            for name, item in self._items.items()
            if isinstance(item.phase, Confirmed)
        }

    def begin(self, move: Move, now: float) -> list[Action]:
        """Begin a move by draining its engine."""
        self._items[move.engine] = Transition(move, Draining(), now, now)
        actions: list[Action] = [
            LogDecision(
                "engine_draining",
                {"upstream": move.engine, "bytes": move.size},
            )
        ]
        actions.extend(self._membership.mark_leaving(move.engine, now))
        return actions

    def advance(
        self,
        engine: Engine,
        now: float,
        may_leave: t.Callable[[str], bool],
    ) -> list[Action]:
        """Do what an engine's move needs next."""
        item = self._items[engine.name]
        actions: list[Action] = []
        if now - item.announced_at >= REMIND_PERIOD:
            actions.extend(self._membership.mark_leaving(engine.name, now))
            item = replace(item, announced_at=now)
            self._items[engine.name] = item
        match item.phase:
            case Draining() if item.running == 0 and now - item.since >= DRAIN_PERIOD:
                return actions + self._order(engine, item, now, may_leave)
            case Ordered() if now - item.since > ORDER_TIMEOUT + 1.0:
                # The answer did not come: what the engine says will decide.
                self._set(item, Loading(), now)
            case Confirmed():
                return actions
        actions.append(ReadEngineState(engine.name, engine.address, READ_TIMEOUT))
        return actions

    def may_order(self, engine: Engine, now: float) -> bool:
        """Tell whether an order can be sent to an engine now."""
        if self._lease.find_number(now) is None:
            return False
        if self._lease.measure_time_left(now) <= ORDER_TIMEOUT:
            return False
        if engine.checks_fencing:
            return True
        # Orders of the planner before may be on their way until then.
        return self._lease.measure_tenure(now) > LEASE_TTL + ORDER_TIMEOUT

    def merge_answer(self, event: OrderAnswered, now: float) -> list[Action]:
        """Take in an engine's answer to an order."""
        item = self._items.get(event.upstream)
        if event.outcome == "fenced" and event.tag == _tag(self._lease, now):
            self.clear()
            return self._lease.give_up("an engine knows a later planner")
        if item is None or not isinstance(item.phase, Ordered):
            return []
        if event.outcome == "refused":
            self.drop(event.upstream)
            return [LogDecision("order_refused", {"upstream": event.upstream})]
        self._set(item, Loading(), now)
        return []

    def merge_holding(self, event: EngineStateRead, now: float) -> list[Action]:
        """Take in what an engine says it holds."""
        item = self._items.get(event.upstream)
        if item is None:
            return []
        item = replace(item, running=event.running)
        self._items[event.upstream] = item
        if not isinstance(item.phase, Loading):
            return []
        held = read_assignment(event)
        if held == item.move.after:
            self._set(item, Confirmed(), now)
            return [LogDecision("engine_placed", {"upstream": event.upstream})]
        if held is not None and now - item.since > REPEAT_PERIOD:
            # It holds something else: the order was lost or overtaken.
            self._set(item, Draining(), now - DRAIN_PERIOD)
        return []

    def _order(
        self,
        engine: Engine,
        item: Transition,
        now: float,
        may_leave: t.Callable[[str], bool],
    ) -> list[Action]:
        number = self._lease.find_number(now)
        if number is None or not self.may_order(engine, now):
            return []
        if not may_leave(engine.name):
            self.drop(engine.name)
            return [LogDecision("move_dropped", {"upstream": engine.name})]
        self._set(item, Ordered(), now)
        after = item.move.after
        fields = {
            "upstream": engine.name,
            "model": f"{after.model}@{after.version}",
            "layers": f"{after.layers.first}-{after.layers.last}",
            "number": number,
        }
        order = SendOrder(
            _tag(self._lease, now),
            engine.name,
            engine.address,
            number,
            after.model,
            after.version,
            after.layers.first,
            after.layers.last,
            ORDER_TIMEOUT,
        )
        return [LogDecision("engine_ordered", fields), order]

    def _set(self, item: Transition, phase: Phase, now: float) -> None:
        running = item.running
        if isinstance(phase, Draining) and not isinstance(item.phase, Loading):
            running = None
        self._items[item.move.engine] = replace(
            item, phase=phase, since=now, running=running
        )


def read_assignment(event: EngineStateRead) -> Assignment | None:
    """Return what an engine holds, None if it holds nothing."""
    if not event.model:
        return None
    layers = LayerRange(event.first, event.last)
    return Assignment(event.model, event.version, layers)


def _tag(lease: PlannerLease, now: float) -> str:
    return f"planner-order-{lease.find_number(now)}"
