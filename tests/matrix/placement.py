"""Cells of placement: take the lease, order, read back, lose the lease.

The faults run with engines that check fencing tokens and engines that ignore them.
"""

import functools
import typing as t

from tarragonrudder.core.placement.lease import LEASE_TTL
from tests.matrix.table import Cell, Impossible, NotProved, Proved, Verdict
from tests.planner_fleet import PEAK, START, OrderViolation, PlannerFleet

AREA = "placement"
ORDER_AT = START + 767.0  # time of the first order without faults
END = START + 1200.0
WANTED_BOUND = 180.0  # tokens a second, the demand in the busy hours
InstallFault: t.TypeAlias = t.Callable[[PlannerFleet], None]


def run_cell(
    install: InstallFault, checks_fencing: bool, ready_at: float = END
) -> PlannerFleet:
    """Run a fault and check the invariants by the engines' journal.

    The demand of the busy hours must be met from `ready_at` to the end.
    """
    fleet = PlannerFleet(checks_fencing)
    install(fleet)
    fleet.run(ready_at)
    if fleet.measure_bound("draft") < WANTED_BOUND:
        raise OrderViolation("the fleet is not ready")
    fleet.run(END)
    fleet.check_invariants()
    if fleet.measure_bound("draft") < WANTED_BOUND:
        raise OrderViolation("the fleet did not stay ready")
    return fleet


def freeze_lease_holder(
    fleet: PlannerFleet, when: float, wake_after: float | None
) -> None:
    """Freeze the lease holder; wake it after `wake_after` seconds unless None."""

    def freeze(now: float) -> None:
        name = fleet.find_lease_holder(now) or "node-0"
        fleet.freeze(name)
        if wake_after is not None:
            fleet.at(now + wake_after, lambda at: fleet.wake(name, at))

    fleet.at(when, freeze)


def freeze_between_check_and_send(fleet: PlannerFleet) -> None:
    """Freeze the holder between the check of its lease and the send of an order.

    The order leaves when it wakes, after its lease has expired.
    """

    def arm(now: float) -> None:
        name = fleet.find_lease_holder(now) or "node-0"
        fleet.freeze_on_order.add(name)
        fleet.at(now + 120.0, lambda at: fleet.wake(name, at))

    fleet.at(START + 700.0, arm)


def expire_leases(fleet: PlannerFleet, when: float) -> None:
    """Expire the lease at the platform while its holder considers it valid."""

    def expire(now: float) -> None:
        for lease in list(fleet.platform.leases):
            fleet.platform.expire_lease(lease)

    fleet.at(when, expire)


def expire_with_late_order(fleet: PlannerFleet) -> None:
    """Delay an order of the previous holder past the change of the lease."""

    def arm(now: float) -> None:
        fleet.order_delay = 16.5

    fleet.at(START + 700.0, arm)
    expire_leases(fleet, ORDER_AT + 0.1)


def set_platform(fleet: PlannerFleet, **values: t.Any) -> None:
    """Set attributes of the platform."""
    for name, value in values.items():
        setattr(fleet.platform, name, value)


def set_fleet(fleet: PlannerFleet, **values: t.Any) -> None:
    """Set attributes of the fleet."""
    for name, value in values.items():
        setattr(fleet, name, value)


def kill_engines(fleet: PlannerFleet, when: float, names: t.Sequence[str]) -> None:
    """Kill engines."""
    for name in names:
        fleet.at(when, lambda now, n=name: setattr(fleet.engines[n], "dead", True))


def restart_engine_empty(fleet: PlannerFleet, when: float, name: str) -> None:
    """Restart an engine with no layers loaded."""
    fleet.at(when, lambda now: setattr(fleet.engines[name], "held", None))


def lose_write_at(fleet: PlannerFleet, when: float) -> None:
    """Lose the response of the next write that takes effect."""
    fleet.at(when, lambda now: setattr(fleet.platform, "lose_writes", 1))


def cut_platform(fleet: PlannerFleet, start: float, end: float) -> None:
    """Take the platform down from `start` to `end`."""
    fleet.platform.down = (start, end)


def no_fault(fleet: PlannerFleet) -> None:
    """Inject no fault."""


def check_no_order_without_lease(checks_fencing: bool) -> None:
    """Check that no orders follow the end of the lease while the platform is down."""
    fleet = PlannerFleet(checks_fencing)
    down_from = ORDER_AT - 20.0
    cut_platform(fleet, down_from, END)
    fleet.run(END)
    fleet.check_invariants()
    if any(entry.at > down_from + LEASE_TTL for entry in fleet.journal):
        raise OrderViolation("an order after the lease's end")


def check_last_chain(checks_fencing: bool) -> None:
    """Check that the engines of a model's last chain get no orders."""
    fleet = PlannerFleet(checks_fencing)
    names = [f"engine-{index}" for index in range(2, 8)]
    kill_engines(fleet, START + 100.0, names)
    fleet.run(END)
    fleet.check_invariants()
    if fleet.measure_bound("jury") <= 0.0:
        raise OrderViolation("a model in use has no chain")


def check_late_order_is_repaired(checks_fencing: bool) -> None:
    """Check that an order delayed past its lease is detected and undone."""
    fleet = PlannerFleet(checks_fencing)
    freeze_between_check_and_send(fleet)
    fleet.run(END)
    for model, wanted in (("draft", WANTED_BOUND), ("jury", 200.0)):
        if fleet.measure_bound(model) < wanted:
            raise OrderViolation(f"{model} was not repaired")


FAULTS: tuple[tuple[str, str, InstallFault], ...] = (
    ("take the lease", "no fault", no_fault),
    (
        "take the lease",
        "write lands and its answer is lost",
        functools.partial(set_platform, lose_writes=1),
    ),
    (
        "take the lease",
        "platform down",
        functools.partial(cut_platform, start=START, end=START + 120.0),
    ),
    (
        "take the lease",
        "platform slow",
        functools.partial(set_platform, latency=0.8),
    ),
    (
        "take the lease",
        "node killed",
        functools.partial(freeze_lease_holder, when=START + 30.0, wake_after=None),
    ),
    ("order", "order lost", functools.partial(set_fleet, lose_orders=2)),
    ("order", "answer late", functools.partial(set_fleet, answer_delay=3.0)),
    ("order", "order arrives late", functools.partial(set_fleet, order_delay=30.0)),
    (
        "order",
        "engine killed",
        functools.partial(kill_engines, when=ORDER_AT - 1.0, names=["engine-0"]),
    ),
    (
        "order",
        "node killed",
        functools.partial(freeze_lease_holder, when=ORDER_AT - 1.0, wake_after=None),
    ),
    (
        "order",
        "node frozen past its lease and woken",
        functools.partial(freeze_lease_holder, when=ORDER_AT - 1.0, wake_after=60.0),
    ),
    (
        "order",
        "node frozen shortly and woken",
        functools.partial(freeze_lease_holder, when=ORDER_AT - 1.0, wake_after=8.0),
    ),
    (
        "order",
        "platform down",
        functools.partial(cut_platform, start=ORDER_AT - 5.0, end=ORDER_AT + 60.0),
    ),
    (
        "order",
        "lease lapsed, two nodes believe",
        functools.partial(expire_leases, when=ORDER_AT - 0.5),
    ),
    ("order", "lease lapsed and order late", expire_with_late_order),
    (
        "read back",
        "engine restarted empty",
        functools.partial(restart_engine_empty, when=START + 800.0, name="engine-0"),
    ),
    (
        "read back",
        "engine restarted empty while it loads",
        functools.partial(restart_engine_empty, when=ORDER_AT + 3.0, name="engine-1"),
    ),
    (
        "read back",
        "write lands and its answer is lost",
        functools.partial(lose_write_at, when=ORDER_AT + 4.0),
    ),
    (
        "read back",
        "node killed",
        functools.partial(freeze_lease_holder, when=ORDER_AT + 3.0, wake_after=None),
    ),
    (
        "read back",
        "platform down",
        functools.partial(cut_platform, start=ORDER_AT + 1.0, end=ORDER_AT + 90.0),
    ),
    (
        "lose the lease",
        "lease lapsed",
        functools.partial(expire_leases, when=START + 300.0),
    ),
    (
        "lose the lease",
        "node frozen past its lease and woken",
        functools.partial(freeze_lease_holder, when=START + 300.0, wake_after=60.0),
    ),
    (
        "lose the lease",
        "platform down",
        functools.partial(cut_platform, start=START + 300.0, end=START + 400.0),
    ),
    (
        "lose the lease",
        "write lands and its answer is lost",
        functools.partial(lose_write_at, when=START + 300.0),
    ),
)


def list_cells() -> list[Cell]:
    """Return the cells of placement."""
    cells = []
    for kind, checks in (("engines check", True), ("engines ignore", False)):
        for step, fault, install in FAULTS:
            ready_at = PEAK if fault == "no fault" else END
            check = functools.partial(run_cell, install, checks, ready_at)
            cells.append(_make_cell(step, f"{fault} ({kind})", check))
        more: tuple[tuple[str, str, t.Callable[[bool], None]], ...] = (
            ("lose the lease", "platform stays down", check_no_order_without_lease),
            ("order", "last chain of a model", check_last_chain),
            (
                "order",
                "frozen between check and send, repaired",
                check_late_order_is_repaired,
            ),
        )
        for step, fault, check_function in more:
            check = functools.partial(check_function, checks)
            cells.append(_make_cell(step, f"{fault} ({kind})", check))
    checking = functools.partial(run_cell, freeze_between_check_and_send, True)
    fault = "frozen between check and send, refused"
    cells.append(_make_cell("order", f"{fault} (engines check)", checking))
    reason = "an engine that ignores fencing can't tell; see docs/design/placement.md"
    cells.append(Cell(AREA, "order", f"{fault} (engines ignore)", NotProved(reason)))
    reason = "orders carry no answers, attempts or callers"
    verdict: Verdict = Impossible(reason)
    cells.append(Cell(AREA, "order", "answer of another attempt", verdict))
    cells.append(Cell(AREA, "order", "caller gone", verdict))
    return cells


def _make_cell(step: str, fault: str, check: t.Callable[..., t.Any]) -> Cell:
    def run() -> None:
        check()

    run.__name__ = f"check_{step.replace(' ', '_')}"
    return Cell(AREA, step, fault, Proved(run))
