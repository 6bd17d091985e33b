"""Detects engines and links that are slower than configured.

Only whole chains can be timed. A healthy part soon occurs in a fast chain, while
a slow part slows down all of its chains. A part's estimate therefore falls
quickly with a fast chain and rises slowly with slow ones.
"""

import typing as t

from tarragonrudder.core.domain.chain import Chain

FALL_WEIGHT = 0.5  # weight of a chain that is faster than the estimate
RISE_WEIGHT = 0.3  # weight of a chain that is slower
BASELINE_SMOOTHING = 0.02  # weight of the newest gap in the baseline
TOLERATED_RATIO = 1.3  # ratio to the baseline up to which there is no penalty
MAX_PENALTY = 20.0
SLOW_PENALTY = 1.5  # penalty from which on a part is planned as slow
MIN_HOLD = 30.0  # seconds for which a part is planned as slow at first
MAX_HOLD = 480.0  # seconds; the hold doubles each time the part is slow again


class SlownessTracker:
    """Estimates the ratio of token gap to baseline for each part of the chains.

    A part is an engine or a link.
    """

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, str], float] = {}
        self._ratios: dict[str, float] = {}
        self._holds: dict[str, tuple[float, float]] = {}

    def observe(self, chain: Chain, parts: list[str], gap: float) -> None:
        """Record a token gap, in seconds, of a chain made of these parts."""
        key = (chain.model, chain.version)
        baseline = self._baselines.get(key, gap)
        ratio = gap / baseline if baseline > 0 else 1.0
        # Capped, so that a few very slow chains do not move the baseline.
        self._baselines[key] = baseline + BASELINE_SMOOTHING * (
            min(gap, 2.0 * baseline) - baseline
        )
        for part in parts:
            estimate = self._ratios.get(part, 1.0)
            weight = FALL_WEIGHT if ratio < estimate else RISE_WEIGHT
            self._ratios[part] = estimate + weight * (ratio - estimate)

    def penalty(self, part: str) -> float:
        """Return the factor to multiply a part's estimated time by, at least 1."""
        ratio = self._ratios.get(part, 1.0)
        if ratio <= TOLERATED_RATIO:
            return 1.0
        return min(MAX_PENALTY, ratio / TOLERATED_RATIO)

    def list_slow_parts(self, parts: t.Iterable[str], now: float) -> frozenset[str]:
        """Return the parts to be planned as slow.

        A part that gets less work soon looks healthy. So a slow part stays
        listed for a hold time, which doubles each time it is found slow again.
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
