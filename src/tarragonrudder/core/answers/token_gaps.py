"""Tracks the gaps between an answer's tokens to detect a degraded chain."""

from dataclasses import dataclass

MIN_STALL_TIMEOUT = 0.5  # seconds
MAX_STALL_TIMEOUT = 1.2  # seconds
STALL_FACTOR = 8.0  # baseline gaps without a token before the hops are probed
SLOW_FACTOR = 3.0  # recent over baseline gap above which a chain is degraded
MIN_SLOW_GAP = 0.15  # seconds; shorter gaps never count as degraded
BASELINE_WEIGHT = 0.1  # weight of a new gap in the baseline's moving average
RECENT_WEIGHT = 0.4  # weight of a new gap in the recent moving average
MIN_GAPS = 4  # gaps needed to establish the baseline


@dataclass(slots=True)
class TokenGapTracker:
    """Slow (baseline) and fast (recent) moving averages of the gap, in seconds."""

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
        """Whether the recent gap is far above the baseline."""
        if self.gap_count < MIN_GAPS or self.recent < MIN_SLOW_GAP:
            return False
        return self.recent > SLOW_FACTOR * self.baseline

    def restart(self, now: float) -> None:
        """Begin another attempt, which is measured against the same baseline."""
        self.last_token_at = now
        self.recent = self.baseline

    def add(self, count: int, now: float) -> None:
        """Record `count` tokens that arrived together."""
        gap = (now - self.last_token_at) / count
        self.last_token_at = now
        if self.gap_count == 0:
            self.baseline = self.recent = gap
        self.gap_count += 1
        self.recent += RECENT_WEIGHT * (gap - self.recent)
        # Degraded gaps must not raise the baseline that they are compared with.
        if self.gap_count <= MIN_GAPS or gap < SLOW_FACTOR * self.baseline:
            self.baseline += BASELINE_WEIGHT * (gap - self.baseline)
