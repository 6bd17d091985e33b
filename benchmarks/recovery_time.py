"""Time from a fault until answers are on time again."""

import typing as t
from dataclasses import dataclass

from benchmarks.fleet import Site
from benchmarks.outcome import (
    Figures,
    compute_figures,
    compute_on_time_series,
    find_recovery_time,
)
from benchmarks.scenarios import (
    SEED,
    compute_bound_without,
    find_busiest_engine,
    list_data_center_engines,
    pick_vm_engines,
)
from benchmarks.simulation import Fault, Setup, Simulation

FAULT_AT = 15.0  # seconds
DURATION = 60.0  # seconds
TAIL = 12.0  # seconds at the end whose requests may still be unfinished
LOAD = 0.8  # of the whole fleet's bound
BALANCER_LAG = 2.0  # seconds until the balancer removes a dead node
OUTAGE = 600.0  # seconds for which the platform is down


@dataclass(frozen=True, slots=True)
class Recovery:
    """Recovery from one fault.

    Attributes
    ----------
    seconds : float or None
        Time to recovery; None if 95% on time was not reached and kept.
    series : list of tuple
        (time, on-time work over possible work).
    queue_ages : list of tuple
        (time, age of the oldest waiting request in seconds).
    """

    name: str
    remaining_bound: float
    seconds: float | None
    figures: Figures
    series: list[tuple[float, float]]
    queue_ages: list[tuple[float, float]]


def measure_recoveries(site: Site) -> list[Recovery]:
    """Simulate every fault and return the recoveries."""
    stage = [find_busiest_engine(site)]
    vm_engines = pick_vm_engines(site)
    data_center_engines = list_data_center_engines(site, "middle")
    return [
        _measure(site, "stage lost", stage),
        _measure(site, "VM lost (two engines)", vm_engines),
        _measure(site, "data centre lost", data_center_engines),
        _measure_node(site),
        _measure_outage(site),
    ]


def _measure(site: Site, name: str, engines: list[str]) -> Recovery:
    fault = Fault(FAULT_AT, lambda simulation: simulation.kill_engines(engines))
    remaining_bound = compute_bound_without(site, engines)
    return _run(site, name, (fault,), remaining_bound, DURATION, LOAD)


def _measure_node(site: Site) -> Recovery:
    fault = Fault(
        FAULT_AT, lambda simulation: simulation.kill_node("node-3", BALANCER_LAG)
    )
    return _run(site, "node lost", (fault,), site.bound, DURATION, LOAD)


def _measure_outage(site: Site) -> Recovery:
    """Simulate a ten-minute platform outage at a load of a tenth of the bound."""

    def stop_platform(simulation: Simulation) -> None:
        simulation.platform_up = False

    def resume_platform(simulation: Simulation) -> None:
        simulation.platform_up = True

    faults = (Fault(FAULT_AT, stop_platform), Fault(FAULT_AT + OUTAGE, resume_platform))
    duration = DURATION + OUTAGE
    begin = FAULT_AT + OUTAGE
    return _run(site, "platform back", faults, site.bound, duration, 0.1, begin)


def _run(
    site: Site,
    name: str,
    faults: t.Sequence[Fault],
    remaining_bound: float,
    duration: float,
    load: float,
    begin: float = FAULT_AT,
) -> Recovery:
    setup = Setup(site, SEED, duration, lambda now: load, faults=tuple(faults))
    simulation = Simulation(setup)
    outcomes = simulation.run()
    end = duration - TAIL
    series = compute_on_time_series(outcomes, begin - 6.0, end, remaining_bound)
    return Recovery(
        name,
        remaining_bound,
        find_recovery_time(series, begin),
        compute_figures(outcomes, begin, end, site.bound),
        series,
        [each for each in simulation.queue_ages if begin - 6.0 <= each[0] < end],
    )
