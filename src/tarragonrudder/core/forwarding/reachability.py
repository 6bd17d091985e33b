"""Tells whether this node is cut off from all upstreams."""

import enum
import math
import random
import typing as t

# Seconds in which failures at different upstreams count together.
FAILURE_WINDOW = 1.0
# Different upstreams that must fail for the node to suspect its own links. One bad
# upstream, or a lost stage that stalls many streams, is no cut.
MIN_FAILED = 2
SAMPLE_SIZE = 5  # upstreams that one check connects to
CHECK_PERIOD = 0.3  # seconds between two checks of a node that is cut
# Seconds after a check before failures lead to another one.
MIN_CHECK_INTERVAL = 0.25
CHECK_TIMEOUT = 0.3  # seconds until a check ends; connects take milliseconds
RESTORING_CHECKS = 2  # in a row that must pass for a cut to have ended
RETURN_PERIOD = 2.0  # seconds until all requests go to upstreams directly again


class Finding(enum.Enum):
    """What a check changed."""

    NOTHING = enum.auto()
    CUT = enum.auto()
    RESTORED = enum.auto()


class Reachability:
    """Finds cuts from failures, and confirms them by checks of some upstreams.

    Load pattern: a node loses its links to all upstreams while callers still reach
    it. Each upstream seems dead from there, and none is.

    Attributes
    ----------
    is_cut : bool
        Whether requests should go to peers.
    reaches_some : bool
        Whether the latest check reached an upstream; true before the first.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._failures: dict[str, float] = {}
        self._failed_at = -FAILURE_WINDOW
        self._checked_at = -FAILURE_WINDOW
        self._passed = 0  # checks in a row that reached upstreams during a cut
        self._restored_at = -RETURN_PERIOD
        self.is_cut = False
        self.reaches_some = True
        # Called after each failure, as a check may be due.
        self.on_failure: t.Callable[[], None] = lambda: None

    def note_failure(self, upstream: str, now: float) -> None:
        """Record that an upstream could not be reached, broke off or was silent."""
        self._failures[upstream] = self._failed_at = now
        self.on_failure()

    def is_suspicious(self, now: float) -> bool:
        """Tell whether enough upstreams failed to suspect the node's own links."""
        for name, at in list(self._failures.items()):
            if now - at > FAILURE_WINDOW:
                del self._failures[name]
        return len(self._failures) >= MIN_FAILED

    def is_unsure(self, now: float, since: float = math.inf) -> bool:
        """Tell whether a check is about to tell if the node is cut.

        Load pattern: many requests fail at upstreams that a node reaches. Each failure
        is a reason for another check, and no request must wait for more than one.

        Parameters
        ----------
        since : float
            When a request began to wait for the check.
        """
        if self.is_cut or self._checked_at > min(self._failed_at, since):
            return False
        return now - self._failed_at <= CHECK_TIMEOUT and self.is_suspicious(now)

    def compute_check_time(self, now: float) -> float | None:
        """Return when the next check is due, None without a reason for one."""
        if self.is_cut:
            return self._checked_at + CHECK_PERIOD
        if self.is_suspicious(now) and self._failed_at > self._checked_at:
            return self._checked_at + MIN_CHECK_INTERVAL
        return None

    def record_check(self, reached: int, tried: int, now: float) -> Finding:
        """Record a check; return what it changed.

        Parameters
        ----------
        reached, tried : int
            Upstreams that a new connection was made to, and all that were tried.
        """
        self._checked_at = now
        self.reaches_some = reached > 0
        if not self.is_cut:
            if reached > 0 or tried < MIN_FAILED:
                return Finding.NOTHING
            self.is_cut = True
            self._passed = 0
            return Finding.CUT
        self._passed = self._passed + 1 if 2 * reached > tried else 0
        if self._passed < RESTORING_CHECKS:
            return Finding.NOTHING
        self.is_cut = False
        self._restored_at = now
        self._failures.clear()
        return Finding.RESTORED

    def prefers_peers(self, now: float) -> bool:
        """Tell whether the next request should go to a peer.

        After a cut more and more requests go to upstreams directly, so that a cut
        that comes and goes does not break them all each time.
        """
        if self.is_cut:
            return True
        return now - self._restored_at < RETURN_PERIOD * self._random.random()
