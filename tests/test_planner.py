import functools
import zlib

import pytest

from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.platform_event import KeyRead
from tarragonrudder.core.placement import transition
from tarragonrudder.core.placement.lease import PlannerLease
from tarragonrudder.core.placement.placement import Assignment, _Search
from tarragonrudder.core.placement.placement_record import (
    decode_placement_record,
    encode_placement_record,
)
from tarragonrudder.core.placement.planner import (
    RECORD_KEY,
    RECORD_TAG,
    Planner,
)
from tests.matrix import placement as cells
from tests.planner_fleet import START, OrderViolation, PlannerFleet

FIRST_NUMBER = 102


def test_the_next_planner_orders_instead_of_a_frozen_one() -> None:
    install = functools.partial(
        cells.freeze_lease_holder, when=cells.ORDER_AT - 1.0, wake_after=60.0
    )
    world = cells.run_cell(install, checks_fencing=False)
    assert world.journal[0].number > FIRST_NUMBER


def test_a_late_order_is_fenced_off() -> None:
    world = cells.run_cell(cells.freeze_between_check_and_send, checks_fencing=True)
    assert "fenced" in world.outcomes


def test_a_late_order_reaches_an_engine_that_ignores_fencing() -> None:
    # What a pause between check and send still does: docs/design/placement.md.
    world = PlannerFleet(checks_fencing=False)
    cells.freeze_between_check_and_send(world)
    world.run(cells.END)
    with pytest.raises(OrderViolation, match="deposed"):
        world.check_invariants()


def test_orders_wait_out_the_former_lease() -> None:
    world = cells.run_cell(cells.expire_with_late_order, checks_fencing=False)
    numbers = [entry.number for entry in world.journal]
    assert len(set(numbers)) == 2


def test_no_wait_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transition, "LEASE_TTL", -1e9)
    with pytest.raises(OrderViolation, match="deposed"):
        cells.run_cell(cells.expire_with_late_order, checks_fencing=False)


def test_no_fencing_token_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    original = PlannerLease.find_fencing_token

    def find_fencing_token(self: PlannerLease, now: float) -> int | None:
        return None if original(self, now) is None else 1

    monkeypatch.setattr(PlannerLease, "find_fencing_token", find_fencing_token)
    with pytest.raises(OrderViolation, match="deposed"):
        cells.run_cell(cells.freeze_between_check_and_send, checks_fencing=True)


def test_no_lease_time_check_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    def find_fencing_token(self: PlannerLease, now: float) -> int | None:
        return getattr(self._state, "fencing_token", None)

    monkeypatch.setattr(PlannerLease, "find_fencing_token", find_fencing_token)
    monkeypatch.setattr(PlannerLease, "measure_time_left", lambda self, now: 1e9)
    monkeypatch.setattr(PlannerLease, "give_up", lambda self, reason: [])
    with pytest.raises(OrderViolation, match="after the lease's end"):
        cells.check_no_order_without_lease(checks_fencing=False)


def test_no_drain_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transition, "DRAIN_PERIOD", -1.0)
    original = transition.Transitions.handle_engine_state

    def handle_engine_state(self, event, now):  # type: ignore[no-untyped-def]
        idle = type(event)(
            event.upstream, event.model, event.version, event.first, event.last, 0
        )
        return original(self, idle, now)

    monkeypatch.setattr(
        transition.Transitions, "handle_engine_state", handle_engine_state
    )
    with pytest.raises(OrderViolation, match="not drained"):
        cells.run_cell(cells.no_fault, checks_fencing=True)


def test_no_chain_check_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Planner, "_may_leave", lambda self, name, now: True)
    monkeypatch.setattr(_Search, "_can_spare", lambda self, engine: True)
    with pytest.raises(OrderViolation):
        cells.check_last_chain(checks_fencing=True)


def test_no_read_back_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Planner, "_audit", lambda self, movable: [])
    with pytest.raises(OrderViolation):
        cells.check_late_order_is_repaired(checks_fencing=False)


def test_few_engines_move_at_once() -> None:
    world = PlannerFleet(checks_fencing=True)
    for second in range(0, 1200):
        world.run(START + second)
        loading = sum(engine.held is None for engine in world.engines.values())
        assert loading <= transition.MAX_MOVES


def test_all_nodes_adopt_the_record() -> None:
    world = cells.run_cell(cells.no_fault, checks_fencing=True)
    placed = {planner.place_engines() for planner in world.planners.values()}
    assert len(placed) == 1
    held = {engine.name: engine.model for engine in placed.pop()}
    for name, fake in world.engines.items():
        assert fake.held is not None
        assert held[name] == fake.held.model


def test_a_stopping_planner_hands_over() -> None:
    def install(world: PlannerFleet) -> None:
        def stop(now: float) -> None:
            world.planners[world.find_lease_holder(now) or ""].stop()

        world.at(cells.ORDER_AT - 1.0, stop)

    world = cells.run_cell(install, checks_fencing=False)
    assert {entry.number > FIRST_NUMBER for entry in world.journal} == {True}


def test_record_round_trip() -> None:
    placed = {"engine-1": Assignment("jury", "2", LayerRange(3, 7))}
    record = decode_placement_record(encode_placement_record(7, placed), 9)
    assert (record.fencing_token, record.revision, record.placed) == (7, 9, placed)


@pytest.mark.parametrize("value", [b"", b"broken", zlib.compress(b"{}")])
def test_a_broken_record_changes_nothing(value: bytes) -> None:
    world = PlannerFleet(checks_fencing=True)
    planner = world.planners["node-0"]
    before = planner.place_engines()
    event = KeyRead(RECORD_TAG, RECORD_KEY, value, 7)
    decisions = planner.handle(event, START)
    assert [action.decision for action in decisions] == ["placement_unreadable"]
    assert planner.place_engines() == before
