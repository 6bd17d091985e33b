"""Carries out moves: drains an engine, orders it to load, and reads back the result."""

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
DRAIN_PERIOD = 6.0  # seconds until all nodes know that the engine is leaving
ANNOUNCE_PERIOD = 20.0  # seconds between announcements that an engine is leaving
ORDER_RETRY_PERIOD = 10.0  # seconds until an order that had no effect is repeated
MAX_MOVES = 4  # engines that move at once


@dataclass(frozen=True, slots=True)
class Draining:
    """The engine finishes its running answers."""


@dataclass(frozen=True, slots=True)
class Ordered:
    """An order was sent and not yet answered."""


@dataclass(frozen=True, slots=True)
class Loading:
    """The order was accepted, or its answer was lost."""


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The engine holds its target; the record is not written yet."""


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
        Running answers that the engine last reported, None before a report.
    """

    move: Move
    phase: Phase
    since: float
    announced_at: float
    running: int | None = None


class Transitions:
    """The moves in progress; only the holder of the lease has any."""

    def __init__(self, lease: PlannerLease, membership: Membership) -> None:
        self._lease = lease
        self._membership = membership
        self._transitions: dict[str, Transition] = {}

    def __len__(self) -> int:
        return len(self._transitions)

    def __contains__(self, engine: str) -> bool:
        return engine in self._transitions

    @property
    def engines(self) -> frozenset[str]:
        """Names of the engines that are being moved."""
        return frozenset(self._transitions)

    def clear(self) -> None:
        """Forget all moves; orders already sent are not revoked."""
        self._transitions.clear()

    def drop(self, engine: str) -> None:
        """Forget one move."""
        self._transitions.pop(engine, None)

    def list_confirmed(self) -> dict[str, Assignment]:
        """Return what the engines with a confirmed move hold."""
        return {
            name: transition.move.after
            for name, transition in self._transitions.items()
            if isinstance(transition.phase, Confirmed)
        }

    def begin(self, move: Move, now: float) -> list[Action]:
        """Begin a move by draining its engine."""
        self._transitions[move.engine] = Transition(move, Draining(), now, now)
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
        """Carry out the next step of an engine's move."""
        transition = self._transitions[engine.name]
        actions: list[Action] = []
        if now - transition.announced_at >= ANNOUNCE_PERIOD:
            actions.extend(self._membership.mark_leaving(engine.name, now))
            transition = replace(transition, announced_at=now)
            self._transitions[engine.name] = transition
        match transition.phase:
            case Draining() if (
                transition.running == 0 and now - transition.since >= DRAIN_PERIOD
            ):
                return actions + self._send_order(engine, transition, now, may_leave)
            case Ordered() if now - transition.since > ORDER_TIMEOUT + 1.0:
                # No answer came: what the engine reports decides.
                self._set_phase(transition, Loading(), now)
            case Confirmed():
                return actions
        actions.append(ReadEngineState(engine.name, engine.address, READ_TIMEOUT))
        return actions

    def may_order(self, engine: Engine, now: float) -> bool:
        """Tell whether an order can be sent to an engine now."""
        if self._lease.find_fencing_token(now) is None:
            return False
        if self._lease.measure_time_left(now) <= ORDER_TIMEOUT:
            return False
        if engine.checks_fencing:
            return True
        # Until then, orders of the previous planner may still arrive.
        return self._lease.measure_tenure(now) > LEASE_TTL + ORDER_TIMEOUT

    def handle_order_answer(self, event: OrderAnswered, now: float) -> list[Action]:
        """Handle an engine's answer to an order."""
        transition = self._transitions.get(event.upstream)
        if event.outcome == "fenced" and event.tag == _make_order_tag(self._lease, now):
            self.clear()
            return self._lease.give_up("an engine knows a higher fencing token")
        if transition is None or not isinstance(transition.phase, Ordered):
            return []
        if event.outcome == "refused":
            self.drop(event.upstream)
            return [LogDecision("order_refused", {"upstream": event.upstream})]
        self._set_phase(transition, Loading(), now)
        return []

    def handle_engine_state(self, event: EngineStateRead, now: float) -> list[Action]:
        """Handle an engine's report of the layers it holds."""
        transition = self._transitions.get(event.upstream)
        if transition is None:
            return []
        transition = replace(transition, running=event.running)
        self._transitions[event.upstream] = transition
        if not isinstance(transition.phase, Loading):
            return []
        held = read_assignment(event)
        if held == transition.move.after:
            self._set_phase(transition, Confirmed(), now)
            return [LogDecision("engine_placed", {"upstream": event.upstream})]
        if held is not None and now - transition.since > ORDER_RETRY_PERIOD:
            # It holds other layers: the order was lost or superseded.
            self._set_phase(transition, Draining(), now - DRAIN_PERIOD)
        return []

    def _send_order(
        self,
        engine: Engine,
        transition: Transition,
        now: float,
        may_leave: t.Callable[[str], bool],
    ) -> list[Action]:
        fencing_token = self._lease.find_fencing_token(now)
        if fencing_token is None or not self.may_order(engine, now):
            return []
        if not may_leave(engine.name):
            self.drop(engine.name)
            return [LogDecision("move_dropped", {"upstream": engine.name})]
        self._set_phase(transition, Ordered(), now)
        after = transition.move.after
        fields = {
            "upstream": engine.name,
            "model": f"{after.model}@{after.version}",
            "layers": f"{after.layers.first}-{after.layers.last}",
            "number": fencing_token,
        }
        order = SendOrder(
            _make_order_tag(self._lease, now),
            engine.name,
            engine.address,
            fencing_token,
            after.model,
            after.version,
            after.layers.first,
            after.layers.last,
            ORDER_TIMEOUT,
        )
        return [LogDecision("engine_ordered", fields), order]

    def _set_phase(self, transition: Transition, phase: Phase, now: float) -> None:
        running = transition.running
        if isinstance(phase, Draining) and not isinstance(transition.phase, Loading):
            running = None
        self._transitions[transition.move.engine] = replace(
            transition, phase=phase, since=now, running=running
        )


def read_assignment(event: EngineStateRead) -> Assignment | None:
    """Return what an engine holds, None if it holds nothing."""
    if not event.model:
        return None
    layers = LayerRange(event.first, event.last)
    return Assignment(event.model, event.version, layers)


def _make_order_tag(lease: PlannerLease, now: float) -> str:
    return f"planner-order-{lease.find_fencing_token(now)}"
