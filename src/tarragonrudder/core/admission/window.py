"""Concurrency limit of a node's answers, adapted to observed latencies.

Additive increase and multiplicative decrease (Chiu and Jain, 1989) of a
concurrency window: it grows while it is in use and tokens arrive in time, and
shrinks when they don't. Nodes with more traffic end up with larger windows,
without communication between the nodes.
"""

FIRST_TOKEN_TARGET = 0.95  # seconds from the request to its first token
TOKEN_GAP_TARGET = 0.058  # seconds between two tokens of an answer
GAP_SHARE = 0.85  # fraction of the gap target that the window aims at
MAX_GAP_RATIO = 1.25  # accepted ratio of the gap to the minimum observed gap
FIRST_SHARE = 0.7  # fraction of the first-token target left to the upstreams
CONTROL_PERIOD = 0.25  # seconds between adjustments of the window
INCREASE = 0.5  # answers per period
MIN_DECREASE_FACTOR = 0.8  # lower limit of the factor per period
EXCESS_DECREASE_FACTOR = 0.97  # per period, while more answers run than allowed
MIN_WINDOW = 2.0  # answers
MAX_WINDOW = 4096.0  # answers
SMOOTHING = 0.5  # weight of the newest period in moving averages
USED_SHARE = 0.9  # fraction of the window that must be in use for it to grow


class Window:
    """Concurrency window of one model on one node."""

    def __init__(self, size: float) -> None:
        self._size = max(MIN_WINDOW, size)
        self._gap: float | None = None
        self._min_gap: float | None = None
        self._first_token_time: float | None = None
        self._gap_seconds = 0.0
        self._gap_tokens = 0
        self._first_seconds = 0.0
        self._first_count = 0
        self._next_adjustment = 0.0

    @property
    def size(self) -> float:
        """Answers that may run at once."""
        return self._size

    @property
    def gap(self) -> float:
        """Recent mean seconds between two tokens of an answer."""
        return self._gap if self._gap is not None else TOKEN_GAP_TARGET * GAP_SHARE

    @property
    def first_token_time(self) -> float:
        """Recent mean seconds from an attempt's start to its first token."""
        return (
            self._first_token_time
            if self._first_token_time is not None
            else FIRST_TOKEN_TARGET / 4
        )

    @property
    def observed(self) -> bool:
        """Whether any answer has been observed."""
        return self._gap is not None

    def observe_first(self, seconds: float) -> None:
        """Record the time to the first token of an attempt."""
        self._first_seconds += seconds
        self._first_count += 1

    def observe_gap(self, seconds: float, tokens: int) -> None:
        """Record the time per token of later tokens."""
        self._gap_seconds += seconds * tokens
        self._gap_tokens += tokens

    def adjust(self, running: int, now: float) -> None:
        """Adjust the size, at most once per period."""
        if now < self._next_adjustment:
            return
        self._next_adjustment = now + CONTROL_PERIOD
        self._close_period()
        pressure = self._measure_pressure()
        if pressure > 1.0:
            self._size = max(MIN_WINDOW, self._shrink(running, pressure))
        elif running >= USED_SHARE * self._size:
            self._size = min(MAX_WINDOW, self._size + INCREASE)

    def _shrink(self, running: int, pressure: float) -> float:
        """Return a smaller size.

        Running answers end only later, so the size is computed from their
        number. While they exceed the size, it shrinks only slightly, so that the
        same excess is not counted in every period.
        """
        if running > self._size:
            return self._size * EXCESS_DECREASE_FACTOR
        return running * max(MIN_DECREASE_FACTOR, 1.0 / pressure)

    def _close_period(self) -> None:
        if self._gap_tokens:
            gap = self._gap_seconds / self._gap_tokens
            self._gap = _smooth(self._gap, gap)
            min_gap = self._min_gap if self._min_gap is not None else gap
            # Only an almost closed window shows the gap of idle chains, so the
            # minimum may rise only then: under load it would follow the load.
            closed = self._size <= MIN_WINDOW
            self._min_gap = self._gap if closed else min(gap, min_gap)
        if self._first_count:
            first = self._first_seconds / self._first_count
            self._first_token_time = _smooth(self._first_token_time, first)
        self._gap_seconds = self._first_seconds = 0.0
        self._gap_tokens = self._first_count = 0

    def _measure_pressure(self) -> float:
        """Return the worst ratio of latency to target; above 1 is too slow."""
        if self._gap is None or self._min_gap is None:
            return 1.0
        # Chains that are slow even when idle must not keep the window closed.
        target = max(TOKEN_GAP_TARGET * GAP_SHARE, MAX_GAP_RATIO * self._min_gap)
        return max(
            self._gap / target,
            self.first_token_time / (FIRST_TOKEN_TARGET * FIRST_SHARE),
        )


def _smooth(old: float | None, new: float) -> float:
    if old is None:
        return new
    return old + SMOOTHING * (new - old)
