"""Cache of the models' flow plans, valid until the fleet changes."""

import typing as t
from collections import OrderedDict
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.fleet import Configuration, Engine, Link, Model
from tarragonrudder.core.selection.flow import Plan, compute_plan

MIN_PLAN_INTERVAL = 0.5  # seconds between two computations for one model
MAX_PLANS = 8  # plans kept for each model
SLOW_FACTOR = 10.0  # by which a slow link's capacity is divided


@dataclass(frozen=True, slots=True)
class _Restrictions:
    """Excluded engines, and links planned at reduced capacity."""

    excluded: frozenset[str]
    slow_links: frozenset[str]


class PlanCache:
    """Computes each plan on first use.

    A plan is cached by its model, its excluded engines and its slow links.
    Where these change faster than `MIN_PLAN_INTERVAL`, the previous plan stays
    in use.
    """

    def __init__(self) -> None:
        self._fleet: tuple[t.Any, ...] = ()
        self._links: tuple[Link, ...] = ()
        self._engines: dict[tuple[str, str], tuple[Engine, ...]] = {}
        self._plans: dict[tuple[str, str], OrderedDict[_Restrictions, Plan]] = {}
        self._computed_at: dict[tuple[str, str], float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; plans are kept if the fleet is unchanged."""
        fleet = (configuration.models, configuration.engines, configuration.links)
        if fleet == self._fleet:
            return
        self._fleet = fleet
        self._links = configuration.links
        self._plans.clear()
        self._computed_at.clear()
        engines: dict[tuple[str, str], list[Engine]] = {}
        for engine in configuration.engines:
            engines.setdefault((engine.model, engine.version), []).append(engine)
        self._engines = {key: tuple(group) for key, group in engines.items()}

    def list_engines(self, model: Model) -> tuple[Engine, ...]:
        """Return all configured engines of a model."""
        return self._engines.get((model.name, model.version), ())

    def find(
        self,
        model: Model,
        excluded: frozenset[str],
        now: float,
        slow_links: frozenset[str] = frozenset(),
    ) -> Plan:
        """Return the plan without the excluded engines.

        The last plan used is returned instead if the plan is not cached and
        another one was computed less than `MIN_PLAN_INTERVAL` ago.

        Parameters
        ----------
        slow_links : frozenset of str
            Keys, by ``make_link_key``, of links planned at reduced capacity.
        """
        key = (model.name, model.version)
        engines = self._engines.get(key, ())
        # Engines of other models make no difference to the plan.
        model_excluded = frozenset(e.name for e in engines if e.name in excluded)
        restrictions = _Restrictions(model_excluded, slow_links)
        plans = self._plans.setdefault(key, OrderedDict())
        plan = plans.get(restrictions)
        if plan is not None:
            plans.move_to_end(restrictions)
            return plan
        recent = (
            now - self._computed_at.get(key, -MIN_PLAN_INTERVAL) < MIN_PLAN_INTERVAL
        )
        if plans and recent:
            return next(reversed(plans.values()))
        usable = [engine for engine in engines if engine.name not in model_excluded]
        plan = compute_plan(model, usable, self._reduce_capacity(slow_links))
        plans[restrictions] = plan
        self._computed_at[key] = now
        if len(plans) > MAX_PLANS:
            plans.popitem(last=False)
        return plan

    def _reduce_capacity(self, slow_links: frozenset[str]) -> list[Link]:
        links = []
        for link in self._links:
            if make_link_key(link.source, link.target) in slow_links:
                rate = link.bytes_per_second / SLOW_FACTOR
                link = replace(link, bytes_per_second=rate)
            links.append(link)
        return links


def make_link_key(source: str, target: str) -> str:
    """Return the key of a link, the same in both directions."""
    return "-".join(sorted((source, target)))
