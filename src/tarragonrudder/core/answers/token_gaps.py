"""Pace of one answer's tokens, to tell a degraded chain from its usual one."""

from dataclasses import dataclass

MIN_STALL_TIMEOUT = 0.5  # seconds
MAX_STALL_TIMEOUT = 1.2  # seconds
STALL_FACTOR = 8.0  # usual gaps without a token before the hops are probed
SLOW_FACTOR = 3.0  # recent gap over the usual one of a degraded chain
MIN_SLOW_GAP = 0.15  # seconds; shorter gaps are never called degraded
BASELINE_WEIGHT = 0.1  # weight of a new gap in the usual one
RECENT_WEIGHT = 0.4  # weight of a new gap in the recent one
MIN_GAPS = 4  # gaps before the usual one is known


@dataclass(slots=True)
class TokenGapTracker:
    """Usual and recent gap between tokens, in seconds."""

    last_token_at: float
    baseline: float = 0.0
    recent: float = 0.0
    gap_count: int = 0

    @property
    def stall_timeout(self) -> float:
        """Seconds without a token after which the hops are probed."""
        if self.gap_count < MIN_GAPS:
            return MAX_STALL_TIMEOUT
        timeout = STALL_FACTOR * self.baseline
        return min(MAX_STALL_TIMEOUT, max(MIN_STALL_TIMEOUT, timeout))

    @property
    def is_degraded(self) -> bool:
        """Whether recent gaps are far above the usual ones."""
        if self.gap_count < MIN_GAPS or self.recent < MIN_SLOW_GAP:
            return False
        return self.recent > SLOW_FACTOR * self.baseline

    def restart(self, now: float) -> None:
        """Begin another attempt; the usual gap is kept as its measure."""
        self.last_token_at = now
        self.recent = self.baseline

    def add(self, count: int, now: float) -> None:
        """Take in `count` tokens that arrived together."""
        gap = (now - self.last_token_at) / count
        self.last_token_at = now
        if self.gap_count == 0:
            self.baseline = self.recent = gap
        self.gap_count += 1
        self.recent += RECENT_WEIGHT * (gap - self.recent)
        # A degraded chain must not teach the pace that it is measured by.
        if self.gap_count <= MIN_GAPS or gap < SLOW_FACTOR * self.baseline:
            self.baseline += BASELINE_WEIGHT * (gap - self.baseline)
