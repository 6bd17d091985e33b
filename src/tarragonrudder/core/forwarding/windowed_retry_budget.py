"""A node's share of the fleet's retry budget."""

import collections
import math
from dataclasses import dataclass

# Part of its share that a node spends. The rest covers nodes that joined or left
# without every node knowing it yet.
SAFE_SHARE = 0.8
# Part of its share of the slack that a node spends in its first window. The node that
# ran under its name before may have spent `SAFE_SHARE` of it in the same window.
START_SHARE = 1.0 - SAFE_SHARE
# Seconds from its start within which a node gets that part. Nodes that lost their
# leases register again in this time, so that its list of nodes is complete.
START_PERIOD = 2.0
BUCKETS = 20  # per window; the sum is exact to one bucket


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """What a node may spend on retries for a service.

    Attributes
    ----------
    spent : float
        Retries in the current window.
    allowed : float
        Retries that the node may make in the window.
    nodes : int
        Number of nodes that are taken to share the slack; 0 if it is unknown.
    """

    spent: float
    allowed: float
    nodes: int


class WindowedRetryBudget:
    """Retries allowed in a sliding window, for each service.

    Load pattern: one fault hits many requests on all nodes at once; their
    retries must not multiply the load while the fleet is short of upstreams. All
    nodes may have restarted a moment ago, and the list of nodes may still be short.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed beyond that, shared by all nodes.
    window : float
        Length of the window, in seconds.

    Attributes
    ----------
    window : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self.window = window
        self._node_count = 1
        self._started_at = -math.inf
        self._requests: dict[str, _Counter] = {}
        self._retries: dict[str, _Counter] = {}

    def start(self, now: float) -> None:
        """Begin the first window of a process, whose nodes are unknown."""
        self._started_at = now
        self._node_count = 0

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack; 0 if it is unknown."""
        self._node_count = count

    def list_services(self) -> list[str]:
        """Return the services that have had requests."""
        return list(self._requests)

    def deposit(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._find(self._requests, service).add(now)

    def withdraw(self, service: str, now: float) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        allowance = self.measure(service, now)
        if allowance.spent + 1 > allowance.allowed:
            return False
        self._find(self._retries, service).add(now)
        return True

    def measure(self, service: str, now: float) -> RetryAllowance:
        """Return what is spent and allowed in the window that ends now."""
        requests = self._find(self._requests, service).sum(now)
        allowed = SAFE_SHARE * self._ratio * requests
        if self._node_count > 0:
            allowed += self._measure_part(now) * self._slack / self._node_count
        spent = self._find(self._retries, service).sum(now)
        return RetryAllowance(spent, allowed, self._node_count)

    def refund(self, service: str, withdrawn_at: float) -> None:
        """Return a retry that was not sent."""
        self._find(self._retries, service).remove(withdrawn_at)

    def _measure_part(self, now: float) -> float:
        """Return the part of its share of the slack that the node may spend."""
        age = now - self._started_at
        if age >= self.window:
            return SAFE_SHARE
        return START_SHARE * min(1.0, age / START_PERIOD)

    def _find(self, counters: dict[str, "_Counter"], service: str) -> "_Counter":
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = _Counter(self.window)
        return counter


class _Counter:
    """Count of events in a sliding window, kept in buckets."""

    def __init__(self, window: float) -> None:
        self._width = window / BUCKETS
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._total = 0.0

    def add(self, now: float) -> None:
        index = now // self._width
        if self._buckets and self._buckets[-1][0] == index:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([index, 1])
        self._total += 1

    def remove(self, added_at: float) -> None:
        """Remove an event; it is gone already if it left the window."""
        index = added_at // self._width
        for bucket in self._buckets:
            if bucket[0] == index:
                bucket[1] -= 1
                self._total -= 1

    def sum(self, now: float) -> float:
        oldest = now // self._width - BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        return self._total
