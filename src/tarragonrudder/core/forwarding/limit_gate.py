"""Holds requests back that would exceed the limits of upstreams."""

import math
import typing as t

from tarragonrudder.core.forwarding.upstream_limits import UpstreamLimits
from tarragonrudder.core.forwarding.upstream_table import Registration, UpstreamTable

# Seconds without a call after which a request no longer waits for its turn; it asks
# more often than that.
TURN_TIMEOUT = 0.2


class LimitGate:
    """Tells which upstreams may get a request now, and how long others must wait.

    Load pattern: all upstreams of a service are limited, and callers ask for more
    than they take. What can have its turn soon waits; the rest is refused at once.
    """

    def __init__(self, upstream_table: UpstreamTable, limits: UpstreamLimits) -> None:
        self._upstream_table = upstream_table
        self._limits = limits
        self._waiting: dict[str, float] = {}

    def list_free(
        self, upstreams: t.Iterable[Registration], now: float
    ) -> list[Registration]:
        """Return those upstreams that may get one more request."""
        found = []
        for upstream in upstreams:
            if not len(self._limits) or self._limits.has_room(
                upstream.incarnation, now
            ):
                found.append(upstream)
        return found

    def has_room(self, name: str, now: float) -> bool:
        """Tell whether an upstream may get one more request."""
        upstream = self._upstream_table.find(name)
        return upstream is None or self._limits.has_room(upstream.incarnation, now)

    def take(self, names: t.Iterable[str], now: float) -> None:
        """Count a request at the upstreams that it passes."""
        for upstream in self._list_limited(names):
            self._limits.take(upstream.incarnation, now)

    def give_back(self, names: t.Iterable[str], now: float) -> None:
        """Uncount a request that was not sent."""
        for upstream in self._list_limited(names):
            self._limits.give_back(upstream.incarnation, now)

    def estimate_wait(
        self, request_id: str, upstreams: t.Iterable[Registration], now: float
    ) -> float | None:
        """Return the seconds until a request may be sent to one of some upstreams.

        Requests have their turns in the order in which they first asked.

        Returns
        -------
        float or None
            None if no upstream is at its limit; infinite if this node has no share.
        """
        full = []
        for upstream in upstreams:
            if not self._limits.has_room(upstream.incarnation, now):
                full.append(upstream)
        if not full:
            return None
        # Requests enter a path at its first stage, whose limit is the first to bind.
        first = [each for each in full if each.layers and each.layers.first == 0]
        names = [upstream.incarnation for upstream in first or full]
        wait = min(self._limits.measure_wait(name, now) for name in names)
        rate = sum(self._limits.measure_share(name, now) for name in names)
        position = self._find_turn(request_id, now)
        return wait + position / rate if rate > 0.0 else math.inf

    def leave(self, request_id: str) -> None:
        """End the wait of a request."""
        self._waiting.pop(request_id, None)

    def _find_turn(self, request_id: str, now: float) -> int:
        for other, asked_at in list(self._waiting.items()):
            if now - asked_at > TURN_TIMEOUT:
                del self._waiting[other]
        self._waiting[request_id] = now  # keeps its place if it is there
        return list(self._waiting).index(request_id)

    def _list_limited(self, names: t.Iterable[str]) -> list[Registration]:
        if not len(self._limits):
            return []
        found = [self._upstream_table.find(name) for name in names]
        return [each for each in found if each and each.incarnation in self._limits]
