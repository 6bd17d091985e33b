"""Share of requests on time in the first 10 minutes of a peak.

The planner that the daemon runs places 40 engines on a virtual clock, on the
day before each change of the clocks and on the day itself, with three ways to
know the peak. Run it with ``python -m benchmarks.placement``.
"""

import dataclasses
import datetime
import sys
import typing as t
import zoneinfo
from unittest import mock

from tests.planner_fleet import PlannerFleet

from tarragonrudder.core.domain.fleet import (
    BusyHours,
    Configuration,
    Engine,
    LayerRange,
    Model,
    ModelRoute,
    WeightStore,
)
from tarragonrudder.core.placement import planner
from tarragonrudder.core.selection.flow import compute_plan

ROME = zoneinfo.ZoneInfo("Europe/Rome")
DAYS = (
    ("day before spring", datetime.date(2027, 3, 27)),
    ("spring change", datetime.date(2027, 3, 28)),
    ("day before autumn", datetime.date(2026, 10, 24)),
    ("autumn change", datetime.date(2026, 10, 25)),
)
PEAK_START = datetime.time(8, 0)
PEAK_DEMAND = 1500.0  # tokens a second of the busy model
OTHER_DEMAND = 300.0  # tokens a second of the other model, all day
MEASURED = 600.0  # seconds of the peak
BEFORE = 4500.0  # seconds of the run before the peak
QUEUE_SECONDS = 5.0  # longest wait of a request that is on time
BUSY, OTHER = "jury", "draft"


@dataclasses.dataclass(frozen=True)
class Policy:
    """How a planner knows the peak.

    Attributes
    ----------
    zone : str
        Zone of the busy hours in the configuration.
    horizon : float
        Seconds that the planner looks ahead.
    """

    name: str
    zone: str
    horizon: float


POLICIES = (
    Policy("calendar", "Europe/Rome", planner.PLAN_HORIZON),
    Policy("fixed offset", "", planner.PLAN_HORIZON),
    Policy("no calendar", "Europe/Rome", 0.0),
)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What one run showed; bounds and maximum flows in tokens per second.

    Attributes
    ----------
    ready : float
        Seconds from the peak's start until the bound meets the demand.
    """

    on_time: float
    before: float
    lowest_other: float
    after: float
    moves: int
    ready: float
    flow_before: float
    flow_after: float


def make_configuration(zone: str) -> Configuration:
    """Return 40 engines, 24 of which hold the busy model's layers."""
    models = (Model(BUSY, "1", 40, 2 * 10**9), Model(OTHER, "1", 40, 2 * 10**9))
    engines = []
    for index in range(40):
        first = 10 * (index % 4)
        model = BUSY if index < 24 else OTHER
        speed = (1500.0, 2000.0, 2500.0, 2000.0)[(index // 4) % 4]
        place = (f"http://engine-{index}", "mi-1", "l40", model, "1")
        layers = LayerRange(first, first + 9)
        engines.append(
            Engine(f"engine-{index:02}", *place, layers, speed, movable=True)
        )
    days = tuple(range(7))
    hours = (
        BusyHours("peak", BUSY, "1", days, "08:00", "12:00", zone, PEAK_DEMAND),
        BusyHours("all-day", OTHER, "1", days, "00:00", "00:00", zone, OTHER_DEMAND),
    )
    return Configuration(
        1,
        models=models,
        engines=tuple(engines),
        model_routes=(ModelRoute(BUSY, BUSY, "1"), ModelRoute(OTHER, OTHER, "1")),
        busy_hours=hours,
        weight_store=WeightStore(2.5e8),
    )


def find_peak(day: datetime.date) -> float:
    """Return the instant at which the callers come."""
    return datetime.datetime.combine(day, PEAK_START, ROME).timestamp()


def fix_offset(day: datetime.date) -> str:
    """Return a zone with the offset of the day before, without changes."""
    noon = datetime.datetime.combine(day, datetime.time(12), ROME)
    offset = (noon - datetime.timedelta(days=1)).utcoffset()
    assert offset is not None
    return f"Etc/GMT-{int(offset.total_seconds() // 3600)}"


def run_day(policy: Policy, day: datetime.date) -> Outcome:
    """Run one morning."""
    peak = find_peak(day)
    world = PlannerFleet(
        False, make_configuration(policy.zone or fix_offset(day)), peak - BEFORE
    )
    with mock.patch.object(planner, "PLAN_HORIZON", policy.horizon):
        world.run(peak - BEFORE + 60.0)
        before = world.measure_bound(BUSY)
        flow_before = measure_flow(world)
        lowest = world.measure_bound(OTHER)
        now = peak - BEFORE + 60.0
        served = queue = 0.0
        ready = float("inf")
        while now < peak + 3600.0:
            now += 1.0
            world.run(now)
            lowest = min(lowest, world.measure_bound(OTHER))
            bound = world.measure_bound(BUSY)
            if now >= peak and bound >= PEAK_DEMAND:
                ready = min(ready, now - peak)
            if peak <= now < peak + MEASURED:
                # What would wait longer is refused at once.
                queue = min(queue + PEAK_DEMAND, bound * QUEUE_SECONDS)
                done = min(queue, bound)
                queue -= done
                served += done
    world.check_invariants()
    on_time = (served + queue) / (PEAK_DEMAND * MEASURED)
    moves = len({entry.engine for entry in world.journal})
    after = world.measure_bound(BUSY)
    return Outcome(
        min(1.0, on_time),
        before,
        lowest,
        after,
        moves,
        ready,
        flow_before,
        measure_flow(world),
    )


def measure_flow(world: PlannerFleet) -> float:
    """Return the busy model's maximum flow over what engines really hold."""
    model = world.configuration.find_model(BUSY, "1")
    assert model is not None
    return compute_plan(model, world.list_holders(BUSY, ""), ()).bound


def main(days: t.Sequence[tuple[str, datetime.date]] = DAYS) -> int:
    """Print the table."""
    print(
        "day                policy        on time  bound before  after"
        "  other's lowest  moves  ready after s  max flow before  after"
    )
    for name, day in days:
        for policy in POLICIES:
            outcome = run_day(policy, day)
            print(
                f"{name:17}  {policy.name:12}  {outcome.on_time:7.3f}"
                f"  {outcome.before:12.0f}  {outcome.after:5.0f}"
                f"  {outcome.lowest_other:14.0f}  {outcome.moves:5}"
                f"  {outcome.ready:13.0f}"
                f"  {outcome.flow_before:15.0f}  {outcome.flow_after:5.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
