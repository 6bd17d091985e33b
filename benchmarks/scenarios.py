"""The loads and faults under which the policy is measured."""

import random
import typing as t
from dataclasses import dataclass, replace

from benchmarks.baselines import (
    LeastLoadSelector,
    RandomSelector,
    ShortestSelector,
    UncorrectedSelector,
)
from benchmarks.fleet import DATA_CENTERS, Site
from benchmarks.simulation import Fault, Setup, Simulation
from tarragonrudder.core.selection.flow import compute_plan
from tarragonrudder.core.selection.selector import Selector

DURATION = 46.0  # seconds of one run
WARM_UP = 12.0  # seconds excluded from the figures
TAIL = 12.0  # seconds at the end whose requests may still be unfinished
FAULT_AT = 16.0  # seconds
STEP_AT = 4.0  # seconds
SEED = 7
# One node receives half of the requests.
SKEWED_NODE_SHARES = (6.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
# Two of the ten accounts send 90% of the requests.
FEW_LARGE_ACCOUNT_SHARES = (0.45, 0.45) + (0.1 / 8,) * 8

POLICIES: dict[str, type[Selector]] = {
    "flow plan": Selector,
    "no own count": UncorrectedSelector,
    "least load": LeastLoadSelector,
    "random": RandomSelector,
    "shortest": ShortestSelector,
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A named setup; `offered` is its load as a share of the bound.

    Attributes
    ----------
    measured_from : float
        Start of the measured arrivals, in seconds of the run.
    """

    name: str
    site: Site
    setup: Setup
    offered: float
    measured_from: float = WARM_UP


def list_scenarios(today: Site, league: Site) -> list[Scenario]:
    """Return all scenarios; their seeds are fixed."""
    steady = _make_setup(today, 0.8)
    step = replace(_make_setup(league, 1.3), load=_compute_step_load)
    # Answers take about 6 s, so work from before the step still ends right after it.
    soon = STEP_AT + 4.0
    found = [
        Scenario("steady 0.8", today, steady, 0.8),
        Scenario("step to 1.3", league, step, 1.3),
        Scenario("step to 1.3, 4 s after it on", league, step, 1.3, soon),
    ]
    few = replace(_make_setup(today, 1.1), account_shares=FEW_LARGE_ACCOUNT_SHARES)
    found.append(Scenario("few large accounts 1.1", today, few, 1.1))
    lost = Fault(
        FAULT_AT,
        lambda simulation: simulation.kill_engines([find_busiest_engine(today)]),
    )
    found.append(
        Scenario("stage lost 0.8", today, replace(steady, faults=(lost,)), 0.8)
    )
    slow = Fault(
        FAULT_AT,
        lambda simulation: simulation.fleet.degrade_link("middle", "south", 10.0),
    )
    found.append(
        Scenario("link tenfold slower 0.8", today, replace(steady, faults=(slow,)), 0.8)
    )
    late = replace(_make_setup(today, 1.0), report_lag=1.0)
    found.append(Scenario("reports 1 s late 1.0", today, late, 1.0))
    down = Fault(FAULT_AT, _stop_platform)
    found.append(
        Scenario("platform down 0.8", today, replace(steady, faults=(down,)), 0.8)
    )
    skewed = replace(_make_setup(today, 1.0), node_shares=SKEWED_NODE_SHARES)
    found.append(Scenario("one node sees half 1.0", today, skewed, 1.0))
    return found


def find_busiest_engine(site: Site) -> str:
    """Return the engine with the highest token rate in the plan's first segment."""
    configuration = site.configuration
    plan = compute_plan(
        configuration.models[0], configuration.engines, configuration.links
    )
    best = max(plan.shares[0], key=lambda share: share.rate)
    return best.engine.name


def compute_bound_without(site: Site, names: t.Collection[str]) -> float:
    """Return a site's throughput bound without the named engines."""
    configuration = site.configuration
    remaining_engines = [
        each for each in configuration.engines if each.name not in names
    ]
    return compute_plan(
        configuration.models[0], remaining_engines, configuration.links
    ).bound


def list_data_center_engines(site: Site, data_center: str) -> list[str]:
    """Return the names of a data centre's engines."""
    engines = site.configuration.engines
    return [each.name for each in engines if each.data_center == data_center]


def pick_vm_engines(site: Site) -> list[str]:
    """Return the two engines that run on the VM lost in the VM fault."""
    names = list_data_center_engines(site, DATA_CENTERS[0])
    return sorted(random.Random(SEED).sample(names, 2))


def _make_setup(site: Site, load: float) -> Setup:
    return Setup(site, SEED, DURATION, lambda now: load)


def _compute_step_load(now: float) -> float:
    return 0.6 if now < STEP_AT else 1.3


def _stop_platform(simulation: Simulation) -> None:
    simulation.platform_up = False
