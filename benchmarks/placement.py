"""Share of requests on time in the first 10 minutes of a peak.

The daemon's planner places 40 engines on a virtual clock, on the day before each
daylight-saving change and on the day itself, with three ways to predict the
peak. Run it with ``python -m benchmarks.placement``.
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
PEAK_DEMAND = 1500.0  # tokens per second of the busy model
OTHER_DEMAND = 300.0  # tokens per second of the other model, all day
MEASURED_SECONDS = 600.0  # from the start of the peak
LEAD_TIME = 4500.0  # seconds simulated before the peak
QUEUE_SECONDS = 5.0  # longest wait of a request that is on time
BUSY_MODEL, OTHER_MODEL = "jury", "draft"


@dataclasses.dataclass(frozen=True)
class Policy:
    """How a planner predicts the peak.

    Attributes
    ----------
    zone : str
        Time zone of the busy hours; empty for the fixed offset of the day before.
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
class DayResult:
    """Results of one day; bounds and maximum flows in tokens per second.

    Attributes
    ----------
    seconds_to_ready : float
        Seconds from the peak's start until the bound reaches the demand.
    """

    on_time: float
    bound_before: float
    lowest_other_bound: float
    bound_after: float
    moves: int
    seconds_to_ready: float
    max_flow_before: float
    max_flow_after: float


def make_configuration(zone: str) -> Configuration:
    """Return 40 engines, 24 of which hold the busy model's layers."""
    models = (
        Model(BUSY_MODEL, "1", 40, 2 * 10**9),
        Model(OTHER_MODEL, "1", 40, 2 * 10**9),
    )
    engines = []
    for index in range(40):
        first = 10 * (index % 4)
        model = BUSY_MODEL if index < 24 else OTHER_MODEL
        speed = (1500.0, 2000.0, 2500.0, 2000.0)[(index // 4) % 4]
        common_fields = (f"http://engine-{index}", "mi-1", "l40", model, "1")
        layers = LayerRange(first, first + 9)
        engines.append(
            Engine(f"engine-{index:02}", *common_fields, layers, speed, movable=True)
        )
    days = tuple(range(7))
    hours = (
        BusyHours("peak", BUSY_MODEL, "1", days, "08:00", "12:00", zone, PEAK_DEMAND),
        BusyHours(
            "all-day", OTHER_MODEL, "1", days, "00:00", "00:00", zone, OTHER_DEMAND
        ),
    )
    return Configuration(
        1,
        models=models,
        engines=tuple(engines),
        model_routes=(
            ModelRoute(BUSY_MODEL, BUSY_MODEL, "1"),
            ModelRoute(OTHER_MODEL, OTHER_MODEL, "1"),
        ),
        busy_hours=hours,
        weight_store=WeightStore(2.5e8),
    )


def compute_peak_start(day: datetime.date) -> float:
    """Return the timestamp at which the peak starts."""
    return datetime.datetime.combine(day, PEAK_START, ROME).timestamp()


def make_fixed_zone(day: datetime.date) -> str:
    """Return a zone without daylight saving, at the offset of the day before."""
    noon = datetime.datetime.combine(day, datetime.time(12), ROME)
    offset = (noon - datetime.timedelta(days=1)).utcoffset()
    assert offset is not None
    return f"Etc/GMT-{int(offset.total_seconds() // 3600)}"


def simulate_day(policy: Policy, day: datetime.date) -> DayResult:
    """Simulate one morning."""
    peak = compute_peak_start(day)
    world = PlannerFleet(
        False, make_configuration(policy.zone or make_fixed_zone(day)), peak - LEAD_TIME
    )
    with mock.patch.object(planner, "PLAN_HORIZON", policy.horizon):
        world.run(peak - LEAD_TIME + 60.0)
        bound_before = world.measure_bound(BUSY_MODEL)
        max_flow_before = compute_max_flow(world)
        lowest_other_bound = world.measure_bound(OTHER_MODEL)
        now = peak - LEAD_TIME + 60.0
        served_tokens = queued_tokens = 0.0
        seconds_to_ready = float("inf")
        while now < peak + 3600.0:
            now += 1.0
            world.run(now)
            lowest_other_bound = min(
                lowest_other_bound, world.measure_bound(OTHER_MODEL)
            )
            bound = world.measure_bound(BUSY_MODEL)
            if now >= peak and bound >= PEAK_DEMAND:
                seconds_to_ready = min(seconds_to_ready, now - peak)
            if peak <= now < peak + MEASURED_SECONDS:
                # Requests that would wait longer are refused on arrival.
                queued_tokens = min(queued_tokens + PEAK_DEMAND, bound * QUEUE_SECONDS)
                completed = min(queued_tokens, bound)
                queued_tokens -= completed
                served_tokens += completed
    world.check_invariants()
    on_time = (served_tokens + queued_tokens) / (PEAK_DEMAND * MEASURED_SECONDS)
    moves = len({entry.engine for entry in world.journal})
    bound_after = world.measure_bound(BUSY_MODEL)
    return DayResult(
        min(1.0, on_time),
        bound_before,
        lowest_other_bound,
        bound_after,
        moves,
        seconds_to_ready,
        max_flow_before,
        compute_max_flow(world),
    )


def compute_max_flow(world: PlannerFleet) -> float:
    """Return the busy model's maximum flow over the layers that engines now hold."""
    model = world.configuration.find_model(BUSY_MODEL, "1")
    assert model is not None
    return compute_plan(model, world.list_holders(BUSY_MODEL, ""), ()).bound


def main(days: t.Sequence[tuple[str, datetime.date]] = DAYS) -> int:
    """Print the table."""
    print(
        "day                policy        on time  bound before  after"
        "  other's lowest  moves  ready after s  max flow before  after"
    )
    for name, day in days:
        for policy in POLICIES:
            result = simulate_day(policy, day)
            print(
                f"{name:17}  {policy.name:12}  {result.on_time:7.3f}"
                f"  {result.bound_before:12.0f}  {result.bound_after:5.0f}"
                f"  {result.lowest_other_bound:14.0f}  {result.moves:5}"
                f"  {result.seconds_to_ready:13.0f}"
                f"  {result.max_flow_before:15.0f}  {result.max_flow_after:5.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
