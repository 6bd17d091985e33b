"""Engines and links that are slower than the configuration says.

Only whole chains can be timed. A healthy part is soon seen in a fast chain,
while a slow one makes all of its chains slow; so a part's estimate falls at
once with a fast chain and rises slowly with slow ones.
"""

import typing as t

from tarragonrudder.core.domain.chain import Chain

FALL_WEIGHT = 0.5  # weight of a chain that is faster than the estimate
RISE_WEIGHT = 0.3  # weight of a chain that is slower
BASELINE_SMOOTHING = 0.02  # weight of the newest chain in the usual gap
TOLERATED_RATIO = 1.3  # ratio to the usual gap that is not held against a part
MAX_PENALTY = 20.0
SLOW_PENALTY = 1.5  # from which on a part is planned as slow
MIN_HOLD = 30.0  # seconds for which a part is planned as slow
MAX_HOLD = 480.0  # seconds; the hold doubles each time it is slow again


class SlownessTracker:
    """Ratio of the token gap to the usual one, for each part of the chains."""

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, str], float] = {}
        self._ratios: dict[str, float] = {}
        self._holds: dict[str, tuple[float, float]] = {}

    def observe(self, chain: Chain, parts: list[str], gap: float) -> None:
        """Take in the token gap of a chain made of these parts."""
        key = (chain.model, chain.version)
        baseline = self._baselines.get(key, gap)
        ratio = gap / baseline if baseline > 0 else 1.0
        # A few very slow chains must not move the usual gap.
        self._baselines[key] = baseline + BASELINE_SMOOTHING * (
            min(gap, 2.0 * baseline) - baseline
        )
        for part in parts:
            known = self._ratios.get(part, 1.0)
            weight = FALL_WEIGHT if ratio < known else RISE_WEIGHT
            self._ratios[part] = known + weight * (ratio - known)

    def penalty(self, part: str) -> float:
        """Return the factor by which a part's time is to be multiplied."""
        ratio = self._ratios.get(part, 1.0)
        return min(MAX_PENALTY, max(1.0, ratio / TOLERATED_RATIO))

    def list_slow_parts(self, parts: t.Iterable[str], now: float) -> frozenset[str]:
        """Return the parts to be planned as slow.

        A part that gets less work soon looks healthy, so it is held as slow
        for a while, and for longer each time that it is found slow again.
        """
        found = set()
        for part in parts:
            hold, until = self._holds.get(part, (0.0, 0.0))
            if until <= now and self.penalty(part) >= SLOW_PENALTY:
                hold = min(MAX_HOLD, 2.0 * hold) if hold else MIN_HOLD
                until = now + hold
                self._holds[part] = (hold, until)
            if until > now:
                found.add(part)
        return frozenset(found)
