"""Simulates ``RateLimiter`` nodes and an unreliable network on a virtual clock."""

import heapq
import itertools
import random
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.admission.rate_limiter import RateLimiter
from tarragonrudder.core.domain.action import SendPeerMessage
from tarragonrudder.core.domain.event import NodeAddress
from tarragonrudder.core.domain.fleet import ClientAccount

LATENCY = 0.001  # seconds, one way
LOST_AFTER = 2.0  # seconds until a lost message is reported as undelivered
LIST_PERIOD = 1.0  # seconds between reads of the node list
LEASE_TTL = 20.0  # seconds until a dead node is removed from the list
ACCOUNT = "courts"


@dataclass
class RateLimiterFleet:
    """Nodes, their network, and the requests admitted and refused."""

    rate: float
    burst: float
    seed: int = 0
    count: int = 7
    loss: float = 0.0
    admitted: list[float] = field(default_factory=list)
    refused: list[tuple[float, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.account = ClientAccount(ACCOUNT, (), self.rate, self.burst)
        self.names = [f"node-{index}" for index in range(self.count)]
        self.dead: dict[str, float] = {}
        self.partitions: dict[str, int] = {}
        self.cut_at = float("inf")
        self.platform_cut: set[str] = set()
        self.registered_at: dict[str, float] = {}
        self.messages = 0
        self.rate_limiters: dict[str, RateLimiter] = {}
        for name in self.names:
            self.rate_limiters[name] = RateLimiter(name)
            self.rate_limiters[name].configure({ACCOUNT: self.account})
        self._queue: list[tuple[float, int, t.Callable[[float], None]]] = []
        self._order = itertools.count()

    @property
    def owner(self) -> str:
        """Owner of the account while all nodes are alive."""
        owners = self.rate_limiters[self.names[0]]._owners
        owners.set_nodes(self.names)
        return t.cast(str, owners.find_owner(owners.find_shard(ACCOUNT)))

    def at(self, when: float, action: t.Callable[[float], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def kill(self, name: str, when: float) -> None:
        """Kill a node; it announces nothing."""
        self.at(when, lambda now: self.dead.__setitem__(name, now))

    def cut(self, when: float, minority: t.Sequence[str], platform_cut: bool) -> None:
        """Partition a minority, with `platform_cut` from the platform as well."""

        def begin(now: float) -> None:
            self.cut_at = now
            self.partitions = {name: 1 for name in minority}
            self.platform_cut = set(minority) if platform_cut else set()

        self.at(when, begin)

    def lapse_leases(self, when: float, period: float) -> None:
        """Drop all nodes from the list; they register anew within a period."""

        def begin(now: float) -> None:
            for name in self.names:
                self.registered_at[name] = now + self.random.uniform(0.0, period)

        self.at(when, begin)

    def run(self, arrivals: t.Iterable[tuple[float, str]], end: float) -> None:
        """Simulate arrivals, as pairs of time and node, until `end`."""
        for name in self.names:
            offset = self.random.random()
            self.at(0.0, lambda now, name=name: self._list_nodes(name, now))
            self.at(offset, lambda now, name=name: self._tick(name, now))
        for when, name in arrivals:
            self.at(when, lambda now, name=name: self.arrive(name, now))
        self.advance(end)

    def advance(self, end: float) -> None:
        """Run the actions due until `end`."""
        while self._queue and self._queue[0][0] <= end:
            now, _, action = heapq.heappop(self._queue)
            action(now)

    def count_admitted(self, start: float, end: float) -> int:
        """Return the number of requests admitted in a period."""
        return sum(start <= at < end for at in self.admitted)

    def arrive(self, name: str, now: float) -> None:
        """Send a request to a node; a dead node ignores it."""
        if name in self.dead:
            return
        wait = self.rate_limiters[name].take(self.account, now)
        if wait == 0.0:
            self.admitted.append(now)
        else:
            self.refused.append((now, wait))
        self._send(name, self.rate_limiters[name].flush(now), now)

    def _tick(self, name: str, now: float) -> None:
        if name in self.dead:
            return
        self._send(name, self.rate_limiters[name].tick(now), now)
        self.at(now + 1.0, lambda at: self._tick(name, at))

    def _list_nodes(self, name: str, now: float) -> None:
        if name not in self.platform_cut:
            self.rate_limiters[name].set_nodes(tuple(self._list_live_nodes(now)), now)
        self.at(now + LIST_PERIOD, lambda at: self._list_nodes(name, at))

    def _list_live_nodes(self, now: float) -> t.Iterator[NodeAddress]:
        for name in self.names:
            if now - self.dead.get(name, now) > LEASE_TTL:
                continue
            if name in self.platform_cut and now - self.cut_at > LEASE_TTL:
                continue
            if now < self.registered_at.get(name, now):
                continue
            yield NodeAddress(name, "", "")

    def _send(self, source: str, actions: t.Sequence[t.Any], now: float) -> None:
        for action in actions:
            assert isinstance(action, SendPeerMessage)
            self.messages += 1
            target, message = action.node, action.message
            apart = self.partitions.get(source, 0) != self.partitions.get(target, 0)
            lost = apart or self.random.random() < self.loss
            # In half of the losses the message arrives and only its response is lost.
            if not apart and (not lost or self.random.random() < 0.5):
                self.at(
                    now + LATENCY,
                    lambda at, m=message, t=target: self._deliver(source, t, m, at),
                )
            if lost or target in self.dead:
                self.at(
                    now + LOST_AFTER,
                    lambda at, m=message, t=target: self.rate_limiters[
                        source
                    ].handle_undelivered(t, m, at),
                )

    def _deliver(self, source: str, target: str, message: t.Any, now: float) -> None:
        if target in self.dead:
            return
        self._send(
            target, self.rate_limiters[target].handle_peer(source, message, now), now
        )


def make_arrivals(
    limiter_fleet: RateLimiterFleet, factor: float, end: float, pattern: str
) -> list[tuple[float, str]]:
    """Return Poisson arrivals at `factor` times the rate.

    `pattern` distributes them over the nodes: ``even``, ``one``, ``half`` (half of
    them on one node) or ``moving`` (another node every 5 s).
    """
    arrivals = []
    now = 0.0
    while now < end:
        now += limiter_fleet.random.expovariate(limiter_fleet.rate * factor)
        match pattern:
            case "even":
                name = limiter_fleet.random.choice(limiter_fleet.names)
            case "one":
                name = limiter_fleet.names[0]
            case "half":
                name = limiter_fleet.names[0]
                if limiter_fleet.random.random() < 0.5:
                    name = limiter_fleet.random.choice(limiter_fleet.names[1:])
            case "moving":
                name = limiter_fleet.names[int(now / 5.0) % limiter_fleet.count]
        arrivals.append((now, name))
    return arrivals


def count_ideal(
    arrivals: t.Sequence[tuple[float, str]], rate: float, burst: float, start: float
) -> int:
    """Return how many requests a single token bucket admits from `start` on."""
    level, since, admitted = burst, 0.0, 0
    for now, _ in arrivals:
        level = min(burst, level + (now - since) * rate)
        since = now
        if level >= 1.0:
            level -= 1.0
            admitted += now >= start
    return admitted
