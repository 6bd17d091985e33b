"""When an empty engine is ordered to load which layers."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import EngineProfile
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.core.placement.filling import (
    Holding,
    Vacancy,
    fill_vacancies,
    find_moves,
)

# Seconds without a new engine after which the first plan is made: a plan over
# all engines at once gives paths of fewer hops.
SETTLE_PERIOD = 0.7
# Seconds after which it is made at the latest, with traffic about to start.
MAX_SETTLE = 3.0
MIN_SETTLED = 4  # engines; fewer can't hold a model, and more are on their way
RETRY_PERIOD = 1.0  # seconds before an order that was not taken is given again
# An order may be carried out seconds after it was lost; loading takes its time.
LOST_PERIOD = 3.0
# Seconds for which layers must be missing before an engine is moved: restarted
# engines are listed, and lost ones no longer, one after another.
MOVE_DELAY = 0.5
LOAD_FACTOR = 1.5  # loads side by side take longer than one alone


@dataclass(frozen=True, slots=True)
class Order:
    """Layers that an engine should load."""

    upstream: str
    born: int
    layers: LayerRange


@dataclass(slots=True)
class _Pending:
    order: Order
    until: float


class LoadingPlan:
    """Orders given by this planner, and what is to be ordered next."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}
        self._seen: set[str] = set()
        self._first_at: float | None = None
        self._newest_at = 0.0
        self._wanted_since: float | None = None

    def plan(
        self,
        service: str,
        profile: EngineProfile,
        registrations: t.Sequence[Registration],
        culprits: t.Container[str],
        now: float,
    ) -> list[Order]:
        """Return orders for the engines of a service.

        Parameters
        ----------
        culprits : container of str
            Engines that were found dead, though they are still registered.
        """
        engines = []
        for registration in registrations:
            if registration.service == service and registration.kind in profile.kinds:
                engines.append(registration)
        if not self._is_settled(engines, now):
            return []
        holdings, vacancies = self._sort(engines, culprits, now)
        chosen = fill_vacancies(profile, holdings, vacancies)
        for each in vacancies:
            if each.name in chosen:
                layers = chosen[each.name]
                holdings.append(Holding(each.name, each.data_center, each.kind, layers))
        chosen.update(self._find_moves(profile, holdings, now))
        orders = []
        for engine in engines:
            layers = chosen.get(engine.name)
            if layers is None:
                continue
            order = Order(engine.name, engine.born, layers)
            share = len(layers) / profile.layer_count
            wait = LOST_PERIOD + LOAD_FACTOR * profile.load_time * share
            self._pending[engine.name] = _Pending(order, now + wait)
            orders.append(order)
        return orders

    def note(self, order: Order, outcome: str, now: float) -> None:
        """Take in what came of an order."""
        pending = self._pending.get(order.upstream)
        if pending is None or pending.order is not order:
            return
        if outcome in ("conflict", "refused"):
            pending.until = now + RETRY_PERIOD

    def _find_moves(
        self, profile: EngineProfile, holdings: t.Sequence[Holding], now: float
    ) -> dict[str, LayerRange]:
        """Return moves that have been wanted for long enough."""
        moves = find_moves(profile, holdings)
        if not moves:
            self._wanted_since = None
            return {}
        if self._wanted_since is None:
            self._wanted_since = now
        return moves if now - self._wanted_since >= MOVE_DELAY else {}

    def _is_settled(self, engines: t.Sequence[Registration], now: float) -> bool:
        for engine in engines:
            if engine.name not in self._seen:
                self._seen.add(engine.name)
                self._newest_at = now
        if len(engines) >= MIN_SETTLED and self._first_at is None:
            self._first_at = now
        if self._first_at is None:
            return False
        if any(engine.layers is not None for engine in engines):
            return True
        if now - self._newest_at >= SETTLE_PERIOD:
            return True
        return now - self._first_at >= MAX_SETTLE

    def _sort(
        self, engines: t.Sequence[Registration], culprits: t.Container[str], now: float
    ) -> tuple[list[Holding], list[Vacancy]]:
        holdings, vacancies = [], []
        for engine in engines:
            if not engine.ready or engine.name in culprits:
                continue
            place, kind = engine.data_center, engine.kind
            pending = self._find_pending(engine, now)
            if pending is not None:
                layers = pending.order.layers
                holdings.append(Holding(engine.name, place, kind, layers))
            elif engine.layers is not None:
                holding = Holding(engine.name, place, kind, engine.layers, movable=True)
                holdings.append(holding)
            else:
                vacancies.append(Vacancy(engine.name, place, kind))
        return holdings, vacancies

    def _find_pending(self, engine: Registration, now: float) -> _Pending | None:
        """Return the order that an engine is still carrying out."""
        pending = self._pending.get(engine.name)
        if pending is None:
            return None
        outdated = pending.order.born != engine.born or pending.until <= now
        if outdated or pending.order.layers == engine.layers:
            del self._pending[engine.name]
            return None
        return pending
