"""How many answers a node runs at once, from what it observes itself.

Additive increase and multiplicative decrease (Chiu and Jain, 1989) of a
concurrency window: it grows while it is in use and tokens come in time, and
shrinks when they don't. Nodes that see more traffic end with larger windows,
without a word between the nodes.
"""

FIRST_TOKEN_TARGET = 0.95  # seconds from the request to its first token
TOKEN_GAP_TARGET = 0.058  # seconds between two tokens of an answer
GAP_SHARE = 0.85  # share of the gap target that the window aims at
MAX_GAP_RATIO = 1.25  # accepted ratio of gap to the least gap seen
FIRST_SHARE = 0.7  # share of the first-token target left to the upstreams
CONTROL_PERIOD = 0.25  # seconds between two changes of the window
INCREASE = 0.5  # answers for each period
MAX_DECREASE = 0.8  # factor of one period at most
EXCESS_DECREASE = 0.97  # factor of one period while more run than the window
MIN_WINDOW = 2.0  # answers
MAX_WINDOW = 4096.0  # answers
SMOOTHING = 0.5  # weight of the newest period
USED_SHARE = 0.9  # share of the window in use from which on it grows


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
        """Seconds between two tokens of an answer, as observed lately."""
        return self._gap if self._gap is not None else TOKEN_GAP_TARGET * GAP_SHARE

    @property
    def first_token_time(self) -> float:
        """Seconds from the start of an attempt to its first token."""
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
        """Take in the time to the first token of an attempt."""
        self._first_seconds += seconds
        self._first_count += 1

    def observe_gap(self, seconds: float, tokens: int) -> None:
        """Take in the time for each of some later tokens."""
        self._gap_seconds += seconds * tokens
        self._gap_tokens += tokens

    def adjust(self, running: int, now: float) -> None:
        """Change the size, once a period."""
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

        Answers that run on end only later, so the size is set against them and
        does not fall anew for the same excess, but for a little.
        """
        if running > self._size:
            return self._size * EXCESS_DECREASE
        return running * max(MAX_DECREASE, 1.0 / pressure)

    def _close_period(self) -> None:
        if self._gap_tokens:
            gap = self._gap_seconds / self._gap_tokens
            self._gap = _smooth(self._gap, gap)
            min_gap = self._min_gap if self._min_gap is not None else gap
            # Only a nearly closed window shows anew how slow chains are at rest:
            # under load the least gap would creep up with the load itself.
            closed = self._size <= MIN_WINDOW
            self._min_gap = self._gap if closed else min(gap, min_gap)
        if self._first_count:
            first = self._first_seconds / self._first_count
            self._first_token_time = _smooth(self._first_token_time, first)
        self._gap_seconds = self._first_seconds = 0.0
        self._gap_tokens = self._first_count = 0

    def _measure_pressure(self) -> float:
        """Return how far tokens are behind their targets; 1 is in time."""
        if self._gap is None or self._min_gap is None:
            return 1.0
        # Chains that are slow at rest must not close the window for good.
        target = max(TOKEN_GAP_TARGET * GAP_SHARE, MAX_GAP_RATIO * self._min_gap)
        return max(
            self._gap / target,
            self.first_token_time / (FIRST_TOKEN_TARGET * FIRST_SHARE),
        )


def _smooth(old: float | None, new: float) -> float:
    if old is None:
        return new
    return old + SMOOTHING * (new - old)
