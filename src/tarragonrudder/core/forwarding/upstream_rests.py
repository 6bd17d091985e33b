"""Rests that upstreams ask of this node when they reject its requests."""

import math
import random
import typing as t
from dataclasses import dataclass

# Seconds; a longer rest is taken for a mistake, and the upstream is tried again then.
MAX_REST = 24 * 3600.0
MAX_VANISHED = 256  # rests that are kept of upstreams without an entry
# Part of a rest, and seconds, by which its end differs between nodes at most: many of
# them may have been asked for it at the same moment.
END_JITTER_SHARE = 0.1
MAX_END_JITTER = 0.5
# Seconds after a rest until requests are no longer held back, requests a second at its
# beginning, and seconds in which that rate doubles.
RETURN_PERIOD = 2.0
RETURN_RATE = 4.0
RETURN_STEP = 0.5


@dataclass(slots=True)
class _Rest:
    asked_at: float
    until: float
    sent_at: float = -math.inf
    is_over: bool = False


class UpstreamRests:
    """Tracks which upstreams rest, and returns to them in steps.

    Load pattern: an upstream that is overloaded turns requests away and asks each
    node for some seconds without any. Requests that come back all at once would
    overload it again.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._rests: dict[str, _Rest] = {}

    def __len__(self) -> int:
        return len(self._rests)

    def observe(self, upstream: str, rest: float, now: float) -> float:
        """Record that an upstream asks for a rest; return the seconds until it ends.

        A rest is never shortened by a later one.

        Parameters
        ----------
        upstream : str
            Name that is unique to one start of the upstream.
        rest : float
            Seconds, 0 or more.
        """
        rest = min(rest, MAX_REST)
        jitter = self._random.random() * min(MAX_END_JITTER, END_JITTER_SHARE * rest)
        until = now + rest + jitter
        known = self._rests.get(upstream)
        if known is None or known.until <= now:
            self._rests[upstream] = _Rest(now, until)
            return until - now
        known.until = max(known.until, until)
        return known.until - now

    def is_resting(self, upstream: str, now: float) -> bool:
        """Tell whether an upstream wants no request."""
        rest = self._rests.get(upstream)
        return rest is not None and now < rest.until

    def has_room(self, upstream: str, now: float) -> bool:
        """Tell whether this node may send an upstream one more request."""
        return self.measure_wait(upstream, now) <= 0.0

    def measure_wait(self, upstream: str, now: float) -> float:
        """Return the seconds until this node may send an upstream a request."""
        rest = self._rests.get(upstream)
        if rest is None or now >= rest.until + RETURN_PERIOD:
            return 0.0
        if now < rest.until:
            return rest.until - now
        return rest.sent_at + 1.0 / self._compute_rate(rest, now) - now

    def measure_rate(self, upstream: str, now: float) -> float:
        """Return the requests a second that may follow after that wait."""
        rest = self._rests.get(upstream)
        if rest is None or now >= rest.until + RETURN_PERIOD:
            return math.inf
        return self._compute_rate(rest, now)

    def take(self, upstream: str, now: float) -> None:
        """Count a request."""
        rest = self._rests.get(upstream)
        if rest is not None:
            rest.sent_at = now

    def expire(self, known: t.Container[str], now: float) -> dict[str, float]:
        """Drop rests that are over.

        An upstream whose entry vanished may come back as the same start; its rest
        stays, as one of the latest `MAX_VANISHED`.

        Returns
        -------
        dict of str to float
            Seconds that each rest has lasted which ended since the last call.
        """
        ended = {}
        vanished = []
        for upstream, rest in list(self._rests.items()):
            if now >= rest.until and not rest.is_over:
                rest.is_over = True
                ended[upstream] = rest.until - rest.asked_at
            if now >= rest.until + RETURN_PERIOD:
                del self._rests[upstream]
            elif upstream not in known:
                vanished.append(upstream)
        vanished.sort(key=lambda upstream: self._rests[upstream].asked_at)
        for upstream in vanished[:-MAX_VANISHED]:
            del self._rests[upstream]
        return ended

    def _compute_rate(self, rest: _Rest, now: float) -> float:
        steps = max(0.0, now - rest.until) / RETURN_STEP
        return RETURN_RATE * 2.0**steps
