"""Holds requests back that upstreams have asked not to get."""

import math
import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.backpressure import Backpressure
from tarragonrudder.core.forwarding.upstream_limits import LimitReport, UpstreamLimits
from tarragonrudder.core.forwarding.upstream_rests import UpstreamRests
from tarragonrudder.core.forwarding.upstream_table import Registration, UpstreamTable

# Seconds without a call after which a request no longer waits for its turn; it asks
# more often than that.
TURN_TIMEOUT = 0.2


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why no upstream may get a request now.

    Attributes
    ----------
    wait : float
        Seconds until one may; infinite if this node has no share of the limits.
    reason : str
        Reason for logs and for the caller.
    """

    wait: float
    reason: str


LIMITED = "the limits of the upstreams are used up"
RESTING = "the upstreams have asked for a rest"


class UpstreamGate:
    """Tells which upstreams may get a request now, and how long others must wait.

    Load pattern: all upstreams of a service are limited or rest, and callers ask for
    more than they take. What can have its turn soon waits; the rest is refused at once.

    Parameters
    ----------
    node : str
        Name of this node.

    Attributes
    ----------
    limits : UpstreamLimits
        Rates that upstreams name for all nodes together.
    rests : UpstreamRests
        Rests that they ask of this node alone.
    on_limit : callable
        Called with an upstream's incarnation, its limit, and who told it.
    on_rest : callable
        Called with an upstream's incarnation and the seconds of the rest that it asks
        for, or None and the seconds that a rest has lasted.
    on_leaving : callable
        Called with the name of an upstream that has announced its end.
    """

    def __init__(
        self, node: str, upstream_table: UpstreamTable, source: random.Random
    ) -> None:
        self._upstream_table = upstream_table
        self.limits = UpstreamLimits(node, source)
        self.rests = UpstreamRests(source)
        self._waiting: dict[str, float] = {}
        self.on_limit: t.Callable[[str, float | None, str], None] = (
            lambda incarnation, limit, origin: None
        )
        self.on_leaving: t.Callable[[str], None] = lambda name: None
        self.on_rest: t.Callable[[str, float | None, float], None] = (
            lambda incarnation, asked, length: None
        )

    @property
    def is_open(self) -> bool:
        """Whether no upstream asks for anything."""
        return not len(self.limits) and not len(self.rests)

    def observe(
        self, upstream: Registration, backpressure: Backpressure, now: float
    ) -> bool:
        """Record what an upstream's answer asks for.

        Returns
        -------
        bool
            Whether it is news for the other nodes.
        """
        incarnation = self._get_incarnation(upstream)
        is_news = backpressure.is_leaving and self.note_leaving(upstream)
        if backpressure.rest is not None:
            length = self.rests.observe(incarnation, backpressure.rest, now)
            self.on_rest(incarnation, backpressure.rest, length)
        limit = backpressure.limit
        if limit is None and not backpressure.has_no_limit:
            return is_news
        if not self.limits.observe(incarnation, limit, now):
            return is_news
        self.on_limit(incarnation, limit, "answer")
        return True

    def note_leaving(self, upstream: Registration) -> bool:
        """Record that an upstream announced its end; return whether that is news."""
        if not self._upstream_table.note_leaving(upstream):
            return False
        self.on_leaving(upstream.name)
        return True

    def merge_limits(
        self, node: str, reports: t.Mapping[str, LimitReport], now: float
    ) -> bool:
        """Add a peer's reports on limits; return whether they hold news."""
        news = self.limits.merge(node, reports, now)
        for upstream in news:
            self.on_limit(upstream, reports[upstream].limit, node)
        return bool(news)

    def expire(self, now: float) -> None:
        """Drop what no longer holds."""
        known = {self._get_incarnation(upstream) for upstream in self._upstream_table}
        for upstream in self.limits.expire(known, now):
            self.on_limit(upstream, None, "no answer")
        for upstream, length in self.rests.expire(known, now).items():
            self.on_rest(upstream, None, length)

    def list_free(
        self, upstreams: t.Iterable[Registration], now: float
    ) -> list[Registration]:
        """Return those upstreams that may get one more request."""
        if self.is_open:
            return list(upstreams)
        return [each for each in upstreams if self._is_free(each, now)]

    def has_room(self, name: str, now: float) -> bool:
        """Tell whether an upstream may get one more request."""
        upstream = self._upstream_table.find(name)
        return upstream is None or self._is_free(upstream, now)

    def is_resting(self, name: str, now: float) -> bool:
        """Tell whether an upstream has asked this node for a rest."""
        upstream = self._upstream_table.find(name)
        if upstream is None:
            return False
        return self.rests.is_resting(self._get_incarnation(upstream), now)

    def take(self, names: t.Iterable[str], now: float) -> None:
        """Count a request at the upstreams that it passes."""
        for incarnation in self._list_incarnations(names):
            self.limits.take(incarnation, now)
            self.rests.take(incarnation, now)

    def give_back(self, names: t.Iterable[str], now: float) -> None:
        """Uncount a request that was not sent."""
        for incarnation in self._list_incarnations(names):
            self.limits.give_back(incarnation, now)

    def estimate_wait(
        self, request_id: str, upstreams: t.Iterable[Registration], now: float
    ) -> Shortage | None:
        """Return why and for how long a request can't be sent to any of some upstreams.

        Requests have their turns in the order in which they first asked.

        Returns
        -------
        Shortage or None
            None if no upstream has asked not to get it.
        """
        full = [each for each in upstreams if not self._is_free(each, now)]
        if not full:
            return None
        # Requests enter a path at its first stage, which is the first to hold them up.
        first = [each for each in full if each.layers and each.layers.first == 0]
        names = [self._get_incarnation(upstream) for upstream in first or full]
        wait = min(self._measure_wait(name, now) for name in names)
        rate = sum(self._measure_rate(name, now) for name in names)
        position = self._find_turn(request_id, now)
        total = wait + position / rate if rate > 0.0 else math.inf
        resting = all(self.rests.is_resting(name, now) for name in names)
        return Shortage(total, RESTING if resting else LIMITED)

    def leave(self, request_id: str) -> None:
        """End the wait of a request."""
        self._waiting.pop(request_id, None)

    def _get_incarnation(self, upstream: Registration) -> str:
        return self._upstream_table.get_latest_incarnation(upstream)

    def _is_free(self, upstream: Registration, now: float) -> bool:
        incarnation = self._get_incarnation(upstream)
        return self.limits.has_room(incarnation, now) and self.rests.has_room(
            incarnation, now
        )

    def _measure_wait(self, incarnation: str, now: float) -> float:
        return max(
            self.limits.measure_wait(incarnation, now),
            self.rests.measure_wait(incarnation, now),
        )

    def _measure_rate(self, incarnation: str, now: float) -> float:
        return min(
            self.limits.measure_share(incarnation, now),
            self.rests.measure_rate(incarnation, now),
        )

    def _find_turn(self, request_id: str, now: float) -> int:
        for other, asked_at in list(self._waiting.items()):
            if now - asked_at > TURN_TIMEOUT:
                del self._waiting[other]
        self._waiting[request_id] = now  # keeps its place if it is there
        return list(self._waiting).index(request_id)

    def _list_incarnations(self, names: t.Iterable[str]) -> list[str]:
        if self.is_open:
            return []
        found = [self._upstream_table.find(name) for name in names]
        return [self._get_incarnation(each) for each in found if each is not None]
