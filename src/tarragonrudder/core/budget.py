"""Budget that keeps retries to a share of the load."""

RETRY_SHARE = 0.1  # retries for each first attempt
MINIMUM_RETRIES = 10.0  # retries that a quiet node may make at once


class RetryBudget:
    """Grows with each first attempt and shrinks with each retry."""

    def __init__(self) -> None:
        self._balance = MINIMUM_RETRIES

    def deposit(self) -> None:
        """Count a first attempt."""
        self._balance = min(MINIMUM_RETRIES * 10, self._balance + RETRY_SHARE)

    def withdraw(self) -> bool:
        """Take one retry; False if the budget is spent."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
