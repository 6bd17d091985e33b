"""Budgets that limit retries to a share of the load."""

RETRY_RATIO = 0.1  # retries per first attempt, by count or by work
MIN_RETRIES = 10.0  # retries that an idle node may make at once
MIN_RATE = 50.0  # units per second that a node without load may spend
MIN_RESERVE = 4000.0  # units that a node may spend at once
RESERVE_PERIOD = 60.0  # seconds of load whose share a node may accumulate


class RetryBudget:
    """Retry budget of calls, in retries; first attempts replenish it."""

    def __init__(self) -> None:
        self._balance = MIN_RETRIES

    def deposit(self) -> None:
        """Count a first attempt."""
        self._balance = min(MIN_RETRIES * 10, self._balance + RETRY_RATIO)

    def withdraw(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class WorkBudget:
    """Retry budget of answers, in units of work; grows with the load.

    A unit is one token processed by all layers of its model. Work on some of
    the layers counts in proportion, and a reused KV cache costs nothing.
    """

    def __init__(self) -> None:
        self._balance = MIN_RESERVE
        self._updated_at = 0.0
        self._load = 0.0
        self.spent = 0.0

    def deposit(self, work: float, now: float) -> None:
        """Count the work of first attempts, in units."""
        self._update(now)
        self._load += work
        self._add(RETRY_RATIO * work)

    def withdraw(self, work: float, now: float) -> bool:
        """Take the work of one retry; return False if the budget is exhausted."""
        self._update(now)
        # A retry larger than the reserve is allowed once the reserve is full.
        needed = min(work, self._reserve)
        if self._balance < needed:
            return False
        self._balance -= work
        self.spent += work
        return True

    @property
    def _reserve(self) -> float:
        # The load is a decaying sum over RESERVE_PERIOD.
        return max(MIN_RESERVE, RETRY_RATIO * self._load)

    def _update(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._load *= max(0.0, 1.0 - elapsed / RESERVE_PERIOD)
        self._add(elapsed * MIN_RATE)

    def _add(self, work: float) -> None:
        self._balance = min(self._reserve, self._balance + work)
