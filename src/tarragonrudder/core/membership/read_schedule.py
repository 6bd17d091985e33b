"""Times at which a node reads the store's changes itself."""

import random

# Calls per second with which all nodes together read changes.
FLEET_READ_RATE = 10.0
# Part of the platform's call rate limit that all nodes together use to read changes.
READ_SHARE = 0.01
# Part of the time limit of a change for which a node relies on what peers have read;
# the rest is for its own call, and for a failed one.
BOUND_SHARE = 0.5
MIN_PERIOD = 0.05  # seconds between two reads of one node
RETRY_PERIOD = 0.25  # seconds before a failed call is retried, with backoff
MAX_RETRY_PERIOD = 1.0  # seconds; fits into the time limit for applying a change
# Failed calls in a row from which on the retries of all nodes share a rate.
SHARED_RETRIES_FROM = 3


class ReadSchedule:
    """Decides when a node reads changes itself, and when it retries.

    Load pattern: registrations change all the time, each node needs each change, and
    the store's calls are limited for all nodes together. A few random nodes read each
    second; the others learn the changes from peers, and read themselves only when
    what they know has become too old.

    Parameters
    ----------
    bound : float
        Seconds within which a change must take effect.
    max_call_rate : float
        Calls per second that the platform allows to all nodes together.
    """

    def __init__(
        self, bound: float, max_call_rate: float, source: random.Random
    ) -> None:
        self._random = source
        self._max_age = BOUND_SHARE * bound
        self._fleet_rate = min(FLEET_READ_RATE, READ_SHARE * max_call_rate)
        self._drawn = 0.0
        self._age_factor = 1.0

    def note_read(self, nodes: int, now: float) -> None:
        """Draw the time of the next read, after one has ended."""
        self._drawn = now + MIN_PERIOD + self._draw_period(nodes)
        # Jitter: nodes that know the same changes would all read at once without it.
        self._age_factor = 0.9 + 0.2 * self._random.random()

    def compute_due(self, current_at: float) -> float:
        """Return the time of the next read.

        Parameters
        ----------
        current_at : float
            Time up to which the node knows all changes.
        """
        return min(self._drawn, current_at + self._age_factor * self._max_age)

    def draw_retry_period(self, failures: int, nodes: int, hears_peers: bool) -> float:
        """Return the seconds to wait after a failed call.

        Load pattern: the store is away, and all nodes call it until it returns. The
        first to find it back tells the others, as long as they hear each other.
        """
        period = min(MAX_RETRY_PERIOD, RETRY_PERIOD * 1.5**failures)
        period *= 0.5 + self._random.random()
        if failures < SHARED_RETRIES_FROM or not hears_peers:
            return period
        return max(period, min(self._draw_period(nodes), 2.0 * self._max_age))

    def _draw_period(self, nodes: int) -> float:
        """Return the seconds in which the other nodes call, if all share a rate."""
        return 2.0 * self._random.random() * max(0, nodes - 1) / self._fleet_rate
