"""Owner side of the rate limits: one token bucket per client account."""

import math
from dataclasses import dataclass, field

from tarragonrudder.core.domain.fleet import ClientAccount

GRANT_AHEAD_PERIOD = 0.5  # seconds of the rate that may be granted ahead
DEMAND_PERIOD = 2.5  # seconds for which a node's reported demand is valid
HANDOVER_PERIOD = 10.0  # seconds for which a former owner's grants may be in use
RETRY_PER_NODE = 0.25  # seconds until a node's next demand, per active node
MAX_RETRY = 1.0  # seconds, upper limit of the part that grows per active node
MAX_DEMAND_RATE = 8.0  # demands a second for one account, over all nodes
CONTENTION_RATIO = 0.7  # ratio of demand to rate above which grants are capped
CONTENTION_MARGIN = 1.5  # cap of a grant, in expected use until the next demand
MIN_GRANT = 3.0  # requests, lower limit of that cap on a grant
MAX_DEBT_PERIOD = 30.0  # seconds of the rate, maximum debt of a bucket


@dataclass(frozen=True, slots=True)
class Demand:
    """A node's reported use and demand of an account.

    Attributes
    ----------
    used : float
        Requests that the node admitted without a grant since its last demand,
        less the granted ones that it returns.
    wanted : float
        Requests that the node asks to be granted.
    rate : float
        Requests per second that arrived at the node, rejected ones included.
    """

    account: str
    used: float
    wanted: float
    rate: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The owner's reply to a demand.

    Attributes
    ----------
    granted : float
        Requests that the node may admit.
    share : float
        Requests per second that the node can rely on.
    retry : float
        Seconds until the node should send its next demand.
    """

    account: str
    granted: float
    share: float
    retry: float


@dataclass(slots=True)
class _Bucket:
    level: float
    refilled_at: float
    rates: dict[str, tuple[float, float]] = field(default_factory=dict)


class TokenBuckets:
    """Token buckets of the accounts that this node owns."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._changed_at = -math.inf
        self._factor = 1.0

    def __len__(self) -> int:
        return len(self._buckets)

    @property
    def active(self) -> bool:
        """Whether any node has sent a demand lately."""
        return any(bucket.rates for bucket in self._buckets.values())

    def note_owner_change(self, now: float) -> None:
        """Note that accounts may just have moved here from another owner."""
        self._changed_at = now

    def set_factor(self, factor: float) -> None:
        """Grant only a fraction of each rate, while some nodes are unreachable."""
        self._factor = factor

    def grant(
        self, node: str, demand: Demand, account: ClientAccount, now: float
    ) -> Grant:
        """Deduct what a node used, and grant as much of its demand as available."""
        bucket = self._refill(account, now)
        rate = account.requests_per_second * self._factor
        floor = -account.requests_per_second * MAX_DEBT_PERIOD
        bucket.level = max(floor, bucket.level - demand.used)
        bucket.level = min(account.burst, bucket.level)
        bucket.rates[node] = (demand.rate, now)
        if demand.rate <= 0.0:
            del bucket.rates[node]
        active_nodes = max(1, len(bucket.rates))
        total = sum(item[0] for item in bucket.rates.values())
        share = rate * demand.rate / total if total > rate else rate
        available = max(0.0, bucket.level + rate * GRANT_AHEAD_PERIOD)
        if total > rate:
            available *= max(demand.rate / total, 1.0 / active_nodes)
        wait = _choose_retry(active_nodes, demand.rate, total)
        contended = total > rate * CONTENTION_RATIO
        if contended:
            # Unused grants on one node would be missing on the others.
            expected = max(demand.rate, rate / active_nodes) * wait * CONTENTION_MARGIN
            available = min(available, max(MIN_GRANT, expected))
        granted = min(demand.wanted, available)
        bucket.level -= granted
        retry = wait if contended or granted < demand.wanted else 0.0
        return Grant(account.name, granted, share, retry)

    def drop_idle(self, now: float) -> None:
        """Drop buckets for which no node has sent a demand lately."""
        for name, bucket in list(self._buckets.items()):
            _drop_stale_rates(bucket, now)
            if not bucket.rates and now - bucket.refilled_at > HANDOVER_PERIOD:
                del self._buckets[name]

    def _refill(self, account: ClientAccount, now: float) -> _Bucket:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # A former owner may just have granted the burst.
            inherited = now - self._changed_at < HANDOVER_PERIOD
            level = account.burst
            if inherited:
                level = -account.requests_per_second * GRANT_AHEAD_PERIOD
            bucket = _Bucket(level, now)
            self._buckets[account.name] = bucket
        elapsed = now - bucket.refilled_at
        refill = elapsed * account.requests_per_second * self._factor
        bucket.level = min(account.burst, bucket.level + refill)
        bucket.refilled_at = now
        _drop_stale_rates(bucket, now)
        return bucket


def _choose_retry(active_nodes: int, rate: float, total: float) -> float:
    """Return the seconds until a node's next demand.

    Nodes with a larger part of the demand send demands more often, so that all
    nodes together send at most ``MAX_DEMAND_RATE`` per second.
    """
    base = min(MAX_RETRY, RETRY_PER_NODE * active_nodes)
    if rate <= 0.0:
        return base
    return min(
        max(base, active_nodes / MAX_DEMAND_RATE),
        total / rate / MAX_DEMAND_RATE + base,
    )


def _drop_stale_rates(bucket: _Bucket, now: float) -> None:
    period = max(DEMAND_PERIOD, 2 * len(bucket.rates) / MAX_DEMAND_RATE)
    for node, (_, at) in list(bucket.rates.items()):
        if now - at > period:
            del bucket.rates[node]
