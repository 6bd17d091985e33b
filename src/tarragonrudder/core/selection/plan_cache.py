"""Flow plans of the models, kept until the fleet changes."""

import typing as t
from collections import OrderedDict
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.fleet import Configuration, Engine, Link, Model
from tarragonrudder.core.selection.flow import Plan, compute_plan

MIN_PLAN_INTERVAL = 0.5  # seconds between two new plans of one model
MAX_PLANS = 8  # plans kept for each model
SLOW_FACTOR = 10.0  # by which a slow link's capacity is divided


@dataclass(frozen=True, slots=True)
class _Restrictions:
    """What a plan has to do without."""

    excluded: frozenset[str]
    slow_links: frozenset[str]


class PlanCache:
    """Computes each plan when it is first needed.

    A plan belongs to a model and the engines that may not be used. Where
    engines come and go faster than `PLAN_PERIOD`, the plan before stays in use.
    """

    def __init__(self) -> None:
        self._fleet: tuple[t.Any, ...] = ()
        self._links: tuple[Link, ...] = ()
        self._engines: dict[tuple[str, str], tuple[Engine, ...]] = {}
        self._plans: dict[tuple[str, str], OrderedDict[_Restrictions, Plan]] = {}
        self._computed_at: dict[tuple[str, str], float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use; plans stay if the fleet did."""
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
        """Return the plan without the excluded engines, or the newest one.

        Parameters
        ----------
        slow_links : frozenset of str
            Names, by ``name_link``, of links to be planned as slow.
        """
        key = (model.name, model.version)
        engines = self._engines.get(key, ())
        # Engines of other models do not tell plans of this one apart.
        own = frozenset(e.name for e in engines if e.name in excluded)
        restrictions = _Restrictions(own, slow_links)
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
        usable = [engine for engine in engines if engine.name not in own]
        plan = compute_plan(model, usable, self._reduce_capacity(slow_links))
        plans[restrictions] = plan
        self._computed_at[key] = now
        if len(plans) > MAX_PLANS:
            plans.popitem(last=False)
        return plan

    def _reduce_capacity(self, slow_links: frozenset[str]) -> list[Link]:
        links = []
        for link in self._links:
            if name_link(link.source, link.target) in slow_links:
                rate = link.bytes_per_second / SLOW_FACTOR
                link = replace(link, bytes_per_second=rate)
            links.append(link)
        return links


def name_link(source: str, target: str) -> str:
    """Return the name of a link, the same in both directions."""
    return "-".join(sorted((source, target)))
