"""Limits that upstreams name for all nodes together, and this node's share of them."""

import math
import random
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain.rendezvous import rank_nodes

# Part of a limit that all nodes together use; the rest covers shares that were
# computed from different reports.
SAFE_SHARE = 0.9
# Part of a limit that is split evenly, whatever each node sends. A node that hears no
# peer has only this.
EVEN_SHARE = 0.3
# Requests a second; a node with a smaller share would keep a whole request in reserve
# for too long, so fewer nodes share the limit.
MIN_RATE = 0.5
# Requests a second of all nodes below which a limit isn't lowered: one request every
# ten seconds finds out whether it still holds.
TRIAL_RATE = 0.1
MAX_LIMIT = 1e6  # requests a second; a larger limit is none
BURST_TIME = 0.25  # seconds of a node's share that it may send at once
RATE_PERIOD = 2.0  # seconds over which the rate of sent requests is averaged
REPORT_PERIOD = 2.0  # seconds for which a peer's reported rate counts
# Seconds without an answer of the upstream after which its limit no longer holds.
RENEWAL_PERIOD = 30.0
# Seconds until all requests may go to an upstream that no longer names a limit. What
# may be sent doubles with each step.
RELEASE_PERIOD = 4.0
RELEASE_STEP = 0.5
MAX_VANISHED = 256  # limits that are kept of upstreams without an entry
MAX_REPORTS = 512  # sent to a peer; bounds the message
MAX_CACHED_HOLDERS = 4096
# Relative change below which a new value is no news.
MIN_CHANGE = 0.1


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a node tells its peers of one upstream.

    Attributes
    ----------
    limit : float or None
        Requests a second that the upstream's newest answer named, None if it named
        no limit any more.
    age : float
        Seconds since that answer.
    rate : float
        Requests a second that the reporting node sends to the upstream.
    """

    limit: float | None
    age: float
    rate: float


@dataclass(slots=True)
class _Entry:
    limit: float
    observed_at: float
    tokens: float
    updated_at: float
    released_at: float | None = None  # since when answers name no limit
    sent: float = 0.0  # requests sent, decayed over `RATE_PERIOD`
    sent_at: float = 0.0
    peer_rates: dict[str, tuple[float, float]] = field(default_factory=dict)

    def measure_rate(self, now: float) -> float:
        """Return the requests a second that this node sends."""
        decay = math.exp(-max(0.0, now - self.sent_at) / RATE_PERIOD)
        return self.sent * decay / RATE_PERIOD

    def compute_limit(self, now: float) -> float:
        """Return the requests a second that all nodes together may send."""
        if self.released_at is None:
            return max(TRIAL_RATE, self.limit)
        steps = (now - self.released_at) / RELEASE_STEP
        return max(1.0, self.limit) * 2.0 ** max(0.0, steps)


class UpstreamLimits:
    """Tracks the limits of upstreams and counts what this node may still send.

    Load pattern: an upstream in need takes a few requests a second from all nodes
    together, and each of them has callers for more. The nodes share the limit by what
    each of them sends, as they tell each other. Where it is too small to be shared by
    all, the nodes that rank highest for the upstream have equal parts of it.

    Parameters
    ----------
    node : str
        Name of this node.
    """

    def __init__(self, node: str, source: random.Random) -> None:
        self._node = node
        self._random = source
        self._nodes: frozenset[str] = frozenset()
        self._entries: dict[str, _Entry] = {}
        self._holders: dict[tuple[str, int], frozenset[str]] = {}

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def set_nodes(self, names: t.Iterable[str]) -> None:
        """Set the names of all nodes that share the limits, with this one."""
        nodes = frozenset(names) | {self._node}
        if nodes != self._nodes:
            self._nodes = nodes
            self._holders.clear()

    def observe(self, upstream: str, limit: float | None, now: float) -> bool:
        """Record what an answer of an upstream named; return whether that is news.

        Parameters
        ----------
        upstream : str
            Name that is unique to one start of the upstream.
        limit : float or None
            Requests a second, None if the answer named no limit.
        """
        entry = self._entries.get(upstream)
        if limit is not None and limit > MAX_LIMIT:
            limit = None
        if limit is None:
            if entry is None:
                return False
            entry.observed_at = now
            if entry.released_at is not None:
                return False
            entry.released_at = now
            return True
        if entry is None:
            self._entries[upstream] = _Entry(limit, now, self._random.random(), now)
            return True
        change = abs(entry.limit - limit)
        is_news = entry.released_at is not None or change > MIN_CHANGE * entry.limit
        self._refill(upstream, entry, now)
        entry.limit, entry.observed_at, entry.released_at = limit, now, None
        return is_news

    def find(self, upstream: str) -> float | None:
        """Return the limit that an upstream names, in requests a second, or None."""
        entry = self._entries.get(upstream)
        if entry is None or entry.released_at is not None:
            return None
        return entry.limit

    def has_room(self, upstream: str, now: float) -> bool:
        """Tell whether this node may send an upstream one more request."""
        entry = self._entries.get(upstream)
        if entry is None:
            return True
        self._refill(upstream, entry, now)
        return entry.tokens >= 1.0

    def take(self, upstream: str, now: float) -> None:
        """Count a request; it may exceed the share, which is then made up for."""
        entry = self._entries.get(upstream)
        if entry is None:
            return
        self._refill(upstream, entry, now)
        entry.tokens -= 1.0
        entry.sent = entry.measure_rate(now) * RATE_PERIOD + 1.0
        entry.sent_at = now

    def give_back(self, upstream: str, now: float) -> None:
        """Uncount a request that was not sent."""
        entry = self._entries.get(upstream)
        if entry is not None:
            self._refill(upstream, entry, now)
            entry.tokens += 1.0
            entry.sent = max(0.0, entry.sent - 1.0)

    def measure_share(self, upstream: str, now: float) -> float:
        """Return the requests a second that this node may send to an upstream."""
        entry = self._entries.get(upstream)
        return math.inf if entry is None else self._compute_share(upstream, entry, now)

    def measure_wait(self, upstream: str, now: float) -> float:
        """Return the seconds until this node may send an upstream a request."""
        if self.has_room(upstream, now):
            return 0.0
        entry = self._entries[upstream]
        share = self._compute_share(upstream, entry, now)
        return (1.0 - entry.tokens) / share if share > 0.0 else math.inf

    def expire(self, known: t.Container[str], now: float) -> list[str]:
        """Drop limits that no longer hold.

        An upstream whose entry vanished may come back as the same start; its limit
        stays, as one of the latest `MAX_VANISHED`.

        Parameters
        ----------
        known : container of str
            Upstreams that are registered.

        Returns
        -------
        list of str
            Upstreams whose limit ended, as no answer has come for `RENEWAL_PERIOD`.
        """
        ended = []
        vanished = []
        for upstream, entry in list(self._entries.items()):
            released_at = entry.released_at
            if released_at is None:
                if now - entry.observed_at > RENEWAL_PERIOD:
                    entry.released_at = now
                    ended.append(upstream)
            elif now - released_at > RELEASE_PERIOD:
                del self._entries[upstream]
                continue
            if upstream not in known:
                vanished.append(upstream)
        vanished.sort(key=lambda upstream: self._entries[upstream].observed_at)
        for upstream in vanished[:-MAX_VANISHED]:
            del self._entries[upstream]
        return ended

    def snapshot(self, now: float) -> dict[str, LimitReport]:
        """Return what peers should know, what was observed last first."""
        found = sorted(self._entries.items(), key=lambda item: -item[1].observed_at)
        reports = {}
        for upstream, entry in found[:MAX_REPORTS]:
            limit = entry.limit if entry.released_at is None else None
            age = max(0.0, now - entry.observed_at)
            reports[upstream] = LimitReport(limit, age, entry.measure_rate(now))
        return reports

    def merge(
        self, node: str, reports: t.Mapping[str, LimitReport], now: float
    ) -> list[str]:
        """Add a peer's reports; return the upstreams of which they tell news."""
        news = []
        for upstream, report in reports.items():
            entry = self._entries.get(upstream)
            observed_at = now - report.age
            is_newer = entry is None or observed_at > entry.observed_at
            if report.age < RENEWAL_PERIOD and is_newer:
                if self.observe(upstream, report.limit, now):
                    news.append(upstream)
                entry = self._entries.get(upstream)
                if entry is not None:
                    entry.observed_at = observed_at
            if entry is not None:
                entry.peer_rates[node] = (now, report.rate)
        return news

    def _refill(self, upstream: str, entry: _Entry, now: float) -> None:
        share = self._compute_share(upstream, entry, now)
        tokens = entry.tokens + share * max(0.0, now - entry.updated_at)
        entry.tokens = min(tokens, max(1.0, share * BURST_TIME))
        entry.updated_at = now

    def _compute_share(self, upstream: str, entry: _Entry, now: float) -> float:
        limit = SAFE_SHARE * entry.compute_limit(now)
        holders = self._find_holders(upstream, limit)
        if self._node not in holders:
            return 0.0
        if len(holders) < len(self._nodes):
            return limit / len(holders)  # they may not hear each other often
        others = len(holders) - 1
        if others == 0:
            return limit
        even = EVEN_SHARE * limit / len(holders)
        rates = self._list_rates(entry, holders, now)
        if not rates:
            return even
        own = entry.measure_rate(now)
        total = own + others * sum(rates) / len(rates)
        part = own / total if total > 0.0 else 1.0 / len(holders)
        return even + (1.0 - EVEN_SHARE) * limit * part

    def _list_rates(
        self, entry: _Entry, holders: t.Container[str], now: float
    ) -> list[float]:
        rates = []
        for node, (reported_at, rate) in list(entry.peer_rates.items()):
            if now - reported_at > REPORT_PERIOD:
                del entry.peer_rates[node]
            elif node in holders:
                rates.append(rate)
        return rates

    def _find_holders(self, upstream: str, limit: float) -> frozenset[str]:
        """Return the nodes that share a limit, the same on all nodes."""
        count = min(len(self._nodes), max(1, int(limit / MIN_RATE)))
        if count == len(self._nodes):
            return self._nodes
        holders = self._holders.get((upstream, count))
        if holders is None:
            if len(self._holders) >= MAX_CACHED_HOLDERS:
                self._holders.clear()
            holders = frozenset(rank_nodes(upstream, self._nodes)[:count])
            self._holders[upstream, count] = holders
        return holders
