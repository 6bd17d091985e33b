"""How long a stream may be silent before its path is left."""

from dataclasses import dataclass

# Parts of what counts as on time. The rest is for reading the request again on
# another path: some tens of milliseconds on each kind of accelerator.
FIRST_EVENT_SHARE = 0.5
GAP_SHARE = 0.55
# Gaps of a busy batch vary; a path that has been slow all along isn't dead.
GAP_FACTOR = 4.0
SMOOTHING = 0.2  # weight of the newest gap


@dataclass(slots=True)
class EventGaps:
    """Gaps of one stream so far, in seconds.

    Load pattern: a stage dies or is cut off, and the engines before it stay
    silent for seconds; the caller's on-time limit is a fraction of one.
    """

    aim: float
    gap_aim: float
    mean_gap: float = 0.0
    max_gap: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        if self.last_at == 0.0:
            self.first_at = now
        else:
            gap = now - self.last_at
            self.max_gap = max(self.max_gap, gap)
            if self.mean_gap == 0.0:
                self.mean_gap = gap
            self.mean_gap += SMOOTHING * (gap - self.mean_gap)
        self.last_at = now

    def compute_stall_timeout(self, begun: bool) -> float:
        """Return the seconds of silence after which a path is suspected.

        Parameters
        ----------
        begun : bool
            Whether this attempt has yielded an event.
        """
        if not begun:
            return FIRST_EVENT_SHARE * self.aim
        return max(GAP_SHARE * self.gap_aim, GAP_FACTOR * self.mean_gap)
