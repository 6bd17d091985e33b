"""Graceful shutdown of a node: announce, drain, exit."""

from tarragonrudder.errors import Stopping

RETRY_AFTER = 1.0  # seconds


class Drain:
    """Tells whether the node accepts new work and when it may exit.

    The load balancer keeps sending work for a while after ``/readyz`` turned
    false, so new work is accepted until `balancer_lag` seconds have passed.
    """

    def __init__(self, balancer_lag: float) -> None:
        self._balancer_lag = balancer_lag
        self._closed_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether shutdown was requested."""
        return self._closed_at is not None

    def begin(self, now: float) -> float:
        """Start the drain, once; return the time from which new work is refused."""
        if self._closed_at is None:
            self._closed_at = now + self._balancer_lag
        return self._closed_at

    def is_closed(self, now: float) -> bool:
        """Tell whether new work is refused."""
        return self._closed_at is not None and now >= self._closed_at

    def refuse(self) -> Stopping:
        """Return the error for a request that comes too late."""
        return Stopping(
            "this node is shutting down; send it again", retry_after=RETRY_AFTER
        )
