"""The owner's side of the rate limits: one token bucket per client account."""

import math
from dataclasses import dataclass, field

from tarragonrudder.core.domain.fleet import ClientAccount

GRANT_AHEAD_PERIOD = 0.5  # seconds of the rate that may be granted ahead
DEMAND_PERIOD = 2.5  # seconds that a node's demand counts
HANDOVER_PERIOD = 10.0  # seconds in which an account's former owner is assumed
RETRY_PER_NODE = 0.25  # seconds until a node asks again, per node that asks
MAX_RETRY = 1.0  # seconds, for few nodes
MAX_DEMAND_RATE = 8.0  # demands a second for one account, over all nodes
CONTENTION_RATIO = 0.7  # of the rate; above it nodes are granted little at a time
CONTENTION_MARGIN = 1.5  # times the wait until the node asks again
MIN_GRANT = 3.0  # requests
MAX_DEBT_PERIOD = 30.0  # seconds of the rate that are owed at most


@dataclass(frozen=True, slots=True)
class Demand:
    """What a node says about an account.

    Attributes
    ----------
    used : float
        Requests it admitted on its own since its last word, less the granted
        ones that it gives back.
    wanted : float
        Requests that it asks for.
    rate : float
        Requests a second that came to it, refused ones included.
    """

    account: str
    used: float
    wanted: float
    rate: float


@dataclass(frozen=True, slots=True)
class Grant:
    """An owner's answer to a demand.

    Attributes
    ----------
    granted : float
        Requests that the node may admit.
    share : float
        Requests a second that it can count on.
    retry : float
        Seconds until it should ask again.
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
    """Buckets of the accounts that this node owns."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._changed_at = -math.inf
        self._factor = 1.0

    def __len__(self) -> int:
        return len(self._buckets)

    @property
    def active(self) -> bool:
        """Whether nodes have asked for an account lately."""
        return any(bucket.rates for bucket in self._buckets.values())

    def note_owner_change(self, now: float) -> None:
        """Note that accounts may have come from another owner just now."""
        self._changed_at = now

    def set_factor(self, factor: float) -> None:
        """Grant only a part of each rate, while some nodes are cut off."""
        self._factor = factor

    def grant(
        self, node: str, demand: Demand, account: ClientAccount, now: float
    ) -> Grant:
        """Settle what a node used, and grant what it may have of its wish."""
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
            # What waits unused on one node is lacking on the others.
            expected = max(demand.rate, rate / active_nodes) * wait * CONTENTION_MARGIN
            available = min(available, max(MIN_GRANT, expected))
        granted = min(demand.wanted, available)
        bucket.level -= granted
        retry = wait if contended or granted < demand.wanted else 0.0
        return Grant(account.name, granted, share, retry)

    def drop_idle(self, now: float) -> None:
        """Forget full buckets that no node has spoken of lately."""
        for name, bucket in list(self._buckets.items()):
            _drop_stale_rates(bucket, now)
            if not bucket.rates and now - bucket.refilled_at > HANDOVER_PERIOD:
                del self._buckets[name]

    def _refill(self, account: ClientAccount, now: float) -> _Bucket:
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # A former owner may have granted the burst a moment ago.
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
    """Return the seconds until a node asks again.

    Nodes with more of the demand ask more often, so that all together make
    ``MAX_DEMAND_RATE`` demands a second at most.
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
