"""Decides when an engine is ordered to load which layers."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import EngineProfile
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.core.placement.layer_assignment import (
    EmptyEngine,
    PlacedEngine,
    assign_layers,
    can_hold_model,
    find_moves,
)

# Seconds without a new engine after which the first plan is made. A plan over all
# engines at once gives paths with fewer hops.
SETTLE_PERIOD = 0.7
# Seconds after which it is made at the latest, as traffic is about to start. Engines
# that can't hold the model yet wait for others no longer than that.
MAX_SETTLE_PERIOD = 3.0
RETRY_PERIOD = 1.0  # seconds before an order that was not accepted is repeated
# Orders in a row that an engine has not accepted, from which on its layers don't count:
# its entry may be of an engine that is gone, or of another writer.
MAX_FAILED_ORDERS = 2
FAILURE_MEMORY = 10.0  # seconds after which failed orders are forgotten
# Seconds, beside the load time, after which an order counts as lost: it may still
# be carried out seconds after its answer was lost.
LOST_ORDER_PERIOD = 3.0
# Seconds for which layers must be missing before an engine is moved: registrations
# of restarted and lost engines appear and expire one after another.
MOVE_DELAY = 0.5
LOAD_FACTOR = 1.5  # concurrent loads take longer than a single one


@dataclass(frozen=True, slots=True)
class Order:
    """Layers that an engine should load.

    Attributes
    ----------
    born : int
        Time of the engine's start; a restart under the same name voids the order.
    """

    upstream: str
    born: int
    layers: LayerRange


@dataclass(slots=True)
class _Pending:
    order: Order
    until: float


@dataclass(frozen=True, slots=True)
class _FailedOrders:
    """Orders in a row that one start of an engine has not accepted."""

    count: int
    last_at: float


@dataclass(slots=True)
class _Classified:
    """Engines by what they hold, as far as they can be used.

    Attributes
    ----------
    placed : list of PlacedEngine
        Those that hold layers, or are about to.
    empty, unresponsive : list of EmptyEngine
        Those that hold none; of these, the latter have taken no order lately.
    """

    placed: list[PlacedEngine] = field(default_factory=list)
    empty: list[EmptyEngine] = field(default_factory=list)
    unresponsive: list[EmptyEngine] = field(default_factory=list)


class LoadingScheduler:
    """Tracks a planner's orders to the engines of one service; decides which are next.

    Services don't share a scheduler, as what one of them lacks says nothing of others.

    Attributes
    ----------
    service : str
        Name of the service.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self._pending: dict[str, _Pending] = {}
        self._failed_orders: dict[tuple[str, int], _FailedOrders] = {}
        self._known: set[str] = set()
        self._first_engine_at: float | None = None
        self._last_new_engine_at = 0.0
        self._moves_wanted_since: float | None = None

    def plan(
        self,
        profile: EngineProfile,
        registrations: t.Sequence[Registration],
        culprits: t.Container[str],
        now: float,
    ) -> list[Order]:
        """Return the orders to give now.

        Parameters
        ----------
        culprits : container of str
            Engines found dead, or about to end, that are still registered.
        """
        engines = []
        for registration in registrations:
            layers = registration.layers
            if (
                registration.service != self.service
                or registration.kind not in profile.kinds
            ):
                continue
            # Layers that the model doesn't have are an error of the entry.
            if layers is None or profile.has_layers(layers):
                engines.append(registration)
        if not self._is_settled(profile, engines, now):
            return []
        found = self._classify(engines, culprits, now)
        placed_engines = found.placed
        chosen = assign_layers(profile, placed_engines, found.empty)
        for each in found.empty:
            if each.name in chosen:
                layers = chosen[each.name]
                placed_engines.append(
                    PlacedEngine(each.name, each.data_center, each.kind, layers)
                )
        chosen.update(self._find_moves(profile, placed_engines, now))
        chosen.update(assign_layers(profile, placed_engines, found.unresponsive))
        orders = []
        for engine in engines:
            layers = chosen.get(engine.name)
            if layers is None:
                continue
            order = Order(engine.name, engine.born, layers)
            share = len(layers) / profile.layer_count
            wait = LOST_ORDER_PERIOD + LOAD_FACTOR * profile.load_time * share
            self._pending[engine.name] = _Pending(order, now + wait)
            orders.append(order)
        return orders

    def record_outcome(self, order: Order, outcome: str, now: float) -> None:
        """Record the outcome of an order; one not accepted is repeated soon."""
        pending = self._pending.get(order.upstream)
        if pending is None or pending.order is not order:
            return
        engine = (order.upstream, order.born)
        match outcome:
            case "begun" | "done":
                self._failed_orders.pop(engine, None)
            case "conflict":
                pending.until = now + RETRY_PERIOD
            case "refused" | "unreachable":
                pending.until = now + RETRY_PERIOD
                failed = self._failed_orders.get(engine)
                count = failed.count + 1 if failed is not None else 1
                self._failed_orders[engine] = _FailedOrders(count, now)

    def _find_moves(
        self,
        profile: EngineProfile,
        placed_engines: t.Sequence[PlacedEngine],
        now: float,
    ) -> dict[str, LayerRange]:
        """Return the moves, once they have been wanted for `MOVE_DELAY`."""
        moves = find_moves(profile, placed_engines)
        if not moves:
            self._moves_wanted_since = None
            return {}
        if self._moves_wanted_since is None:
            self._moves_wanted_since = now
        return moves if now - self._moves_wanted_since >= MOVE_DELAY else {}

    def _is_settled(
        self, profile: EngineProfile, engines: t.Sequence[Registration], now: float
    ) -> bool:
        """Tell whether no further engine is worth waiting for."""
        names = {engine.name for engine in engines}
        if names - self._known:
            self._last_new_engine_at = now
        self._known = names
        if not engines:
            return False
        if self._first_engine_at is None:
            self._first_engine_at = now
        if now - self._first_engine_at >= MAX_SETTLE_PERIOD:
            return True
        if not can_hold_model(profile, [engine.kind for engine in engines]):
            return False
        if any(engine.layers is not None for engine in engines):
            return True
        return now - self._last_new_engine_at >= SETTLE_PERIOD

    def _classify(
        self, engines: t.Sequence[Registration], culprits: t.Container[str], now: float
    ) -> _Classified:
        for key, failed in list(self._failed_orders.items()):
            if now - failed.last_at > FAILURE_MEMORY:
                del self._failed_orders[key]
        found = _Classified()
        for engine in engines:
            if not engine.ready or engine.name in culprits:
                continue
            center, kind = engine.data_center, engine.kind
            pending = self._find_pending(engine, now)
            is_unresponsive = self._is_unresponsive(engine)
            if pending is not None and not is_unresponsive:
                layers = pending.order.layers
                found.placed.append(PlacedEngine(engine.name, center, kind, layers))
            elif engine.layers is not None:
                layers = engine.layers
                is_movable = pending is None and not is_unresponsive
                found.placed.append(
                    PlacedEngine(engine.name, center, kind, layers, is_movable)
                )
            elif pending is None:
                empty = EmptyEngine(engine.name, center, kind)
                (found.unresponsive if is_unresponsive else found.empty).append(empty)
        return found

    def _is_unresponsive(self, engine: Registration) -> bool:
        failed = self._failed_orders.get((engine.name, engine.born))
        return failed is not None and failed.count >= MAX_FAILED_ORDERS

    def _find_pending(self, engine: Registration, now: float) -> _Pending | None:
        """Return the order in progress on an engine, if any."""
        pending = self._pending.get(engine.name)
        if pending is None:
            return None
        outdated = pending.order.born != engine.born or pending.until <= now
        if outdated or pending.order.layers == engine.layers:
            del self._pending[engine.name]
            return None
        return pending
