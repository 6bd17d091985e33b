"""How long a stream may be silent before it counts as stalled."""

import math
from dataclasses import dataclass

from tarragonrudder.core.forwarding.stall_response import RETRY_FACTOR

# Parts of the latency targets after which a stream is stalled. The rest is for
# prefilling the request on another path: some tens of milliseconds on each kind of
# accelerator.
FIRST_EVENT_SHARE = 0.5
GAP_SHARE = 0.55
# Mean gaps after which a stream is stalled. The gaps of a busy batch vary, and a
# path that was always slow isn't dead.
GAP_FACTOR = 4.0
# Part of the time left in which a stream is stalled, whatever its gaps and targets are:
# after `RETRY_FACTOR` of these waits another path still has half of that time.
TIME_LEFT_SHARE = 0.5 / RETRY_FACTOR
# Seconds; with less time left, another path can't be waited for.
MIN_LIMITED_TIMEOUT = 0.1
# Seconds; a shorter wait would keep the node busy, and silence is divided by it.
MIN_STALL_TIMEOUT = 0.01
SMOOTHING = 0.2  # weight of the newest gap in the moving average


@dataclass(slots=True)
class EventGaps:
    """Gaps between the events of one stream, in seconds.

    Load pattern: a stage dies or is cut off, and the engines before it stay
    silent for seconds, while the route's latency targets are a fraction of a second.
    One early gap on a busy machine must not hold back a replacement until the deadline.

    Attributes
    ----------
    first_byte_target, event_gap_target : float
        Latency targets in seconds: to the first event, and between two events.
    deadline : float
        When the answer is due, in the time of the events.
    mean_gap : float
        Exponential moving average of the gaps.
    first_at, last_at : float
        Times of the first and the latest event; 0 before the first event.
    """

    first_byte_target: float
    event_gap_target: float
    deadline: float = math.inf
    mean_gap: float = 0.0
    max_gap: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0

    def add(self, now: float) -> None:
        """Record an event."""
        if self.last_at == 0.0:
            self.first_at = now
        else:
            gap = now - self.last_at
            self.max_gap = max(self.max_gap, gap)
            if self.mean_gap == 0.0:
                self.mean_gap = gap
            self.mean_gap += SMOOTHING * (gap - self.mean_gap)
        self.last_at = now

    def compute_stall_timeout(self, begun: bool, since: float) -> float:
        """Return the seconds of silence after which the stream is stalled.

        Parameters
        ----------
        begun : bool
            Whether this attempt has yielded an event.
        since : float
            When it started or made its latest progress.
        """
        if not begun:
            timeout = FIRST_EVENT_SHARE * self.first_byte_target
        else:
            timeout = max(GAP_SHARE * self.event_gap_target, GAP_FACTOR * self.mean_gap)
        limit = max(TIME_LEFT_SHARE * (self.deadline - since), MIN_LIMITED_TIMEOUT)
        return max(min(timeout, limit), MIN_STALL_TIMEOUT)
