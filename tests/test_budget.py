import pytest

from tarragonrudder.core.admission.retry_budget import (
    MIN_RATE,
    MIN_RESERVE,
    RETRY_RATIO,
    WorkBudget,
)


@pytest.mark.parametrize(
    ("load", "seconds"), [(0.0, 100.0), (1000.0, 100.0), (20000.0, 300.0)]
)
def test_spent_work_is_a_share_of_the_load(load: float, seconds: float) -> None:
    budget = WorkBudget()
    deposited = 0.0
    for step in range(int(seconds * 10)):
        now = step / 10
        budget.deposit(load / 10, now)
        deposited += load / 10
        while budget.withdraw(300.0, now):
            pass
    limit = RETRY_RATIO * deposited + MIN_RESERVE + MIN_RATE * seconds
    assert budget.spent <= limit


def test_retry_larger_than_the_reserve_is_not_refused_for_ever() -> None:
    budget = WorkBudget()
    assert budget.withdraw(10 * MIN_RESERVE, 0.0)
    assert not budget.withdraw(1.0, 1.0)
    assert budget.withdraw(1.0, 10 * MIN_RESERVE / MIN_RATE)
