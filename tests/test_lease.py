import pytest

from tarragonrudder.core.domain import event as events
from tarragonrudder.core.placement.lease import KEY, LEASE_TTL, TAG, PlannerLease


def take(lease: PlannerLease, asked_at: float = 0.0, now: float = 1.0) -> None:
    lease.tick(0.0, candidate=True)
    lease.handle(events.KeyRead(TAG, KEY, None, 0), now)
    lease.handle(events.LeaseGranted(TAG, 5, LEASE_TTL, asked_at), now)


@pytest.mark.parametrize(
    ("event", "number"),
    [
        (events.Swapped(TAG, KEY, 40), 40),
        (events.SwapConflicted(TAG, KEY), None),
        (events.PlatformCallFailed(TAG, KEY), None),
        # The lost answer is read back: written, not written, another's.
        (events.KeyRead(TAG, KEY, b'{"node":"node-0","lease":5}', 41), 41),
        (events.KeyRead(TAG, KEY, None, 0), None),
        (events.KeyRead(TAG, KEY, b'{"node":"node-1","lease":6}', 42), None),
        (events.KeyRead(TAG, KEY, b"broken", 42), None),
    ],
)
def test_taking(event: events.Event, number: int | None) -> None:
    lease = PlannerLease("node-0")
    take(lease)
    lease.handle(event, 2.0)  # type: ignore[arg-type]
    assert lease.find_fencing_token(2.0) == number


def test_time_runs_from_when_the_lease_was_asked() -> None:
    lease = PlannerLease("node-0")
    take(lease, asked_at=0.0, now=10.0)
    lease.handle(events.Swapped(TAG, KEY, 40), 10.0)
    assert lease.measure_time_left(10.0) == LEASE_TTL - 10.0
    assert lease.find_fencing_token(LEASE_TTL) is None


def test_a_late_write_does_not_make_a_holder() -> None:
    lease = PlannerLease("node-0")
    take(lease)
    lease.handle(events.Swapped(TAG, KEY, 40), LEASE_TTL + 1.0)
    assert lease.find_fencing_token(LEASE_TTL + 1.0) is None


def test_a_renewal_after_the_lapse_is_void() -> None:
    lease = PlannerLease("node-0")
    take(lease)
    lease.handle(events.Swapped(TAG, KEY, 40), 1.0)
    late = LEASE_TTL + 1.0
    lease.handle(events.LeaseGranted(TAG, 5, LEASE_TTL, late), late)
    assert lease.find_fencing_token(late) is None


def test_another_revision_of_the_key_deposes() -> None:
    lease = PlannerLease("node-0")
    take(lease)
    lease.handle(events.Swapped(TAG, KEY, 40), 1.0)
    lease.handle(events.KeyRead(TAG, KEY, b"{}", 44), 2.0)
    assert lease.find_fencing_token(2.0) is None


def test_only_a_candidate_asks() -> None:
    assert PlannerLease("node-0").tick(0.0, candidate=False) == []
