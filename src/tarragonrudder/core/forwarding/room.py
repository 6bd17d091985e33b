"""Estimate of when a request that waits for room gets its turn."""

import math
import random
from dataclasses import dataclass, field

FADE_PERIOD = 5.0  # seconds in which a count falls to 1/e
MIN_ENDS = 3.0  # faded count of ended streams below which no rate is known
RETURN_SHARE = 0.5  # of the freed room that is booked for callers who return
MIN_RETRY_AFTER = 0.4  # seconds
# Part of the time left that callers wait at most before they return.
MAX_RETRY_SHARE = 1.0 / 3.0


@dataclass(slots=True)
class _Flow:
    """Streams of a service that ended, faded, and the places booked."""

    ended: float = 0.0
    faded_at: float = 0.0
    booked_until: dict[int, float] = field(default_factory=dict)  # by level

    def fade(self, now: float) -> None:
        """Let the count fade until `now`."""
        factor = math.exp(-max(0.0, now - self.faded_at) / FADE_PERIOD)
        self.ended *= factor
        self.faded_at = max(now, self.faded_at)


class RoomEstimator:
    """Estimates when room is freed for the requests of this node.

    Load pattern: demand swings by half within seconds on all nodes. Who is refused in
    the crest returns once; told when room will have been freed for all before, callers
    return spread over the trough instead of into the same crest.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._flows: dict[str, _Flow] = {}

    def note_end(self, service: str, now: float) -> None:
        """Count a stream that ended, however it did."""
        flow = self._find_flow(service, now)
        flow.ended += 1.0

    def measure_rates(self, now: float) -> dict[str, float]:
        """Return how many streams of each service ended a second of late."""
        return {
            service: self._find_flow(service, now).ended / FADE_PERIOD
            for service in self._flows
        }

    def estimate_wait(self, service: str, ahead: int, now: float) -> float | None:
        """Return the seconds until a request's turn, None if unknown."""
        flow = self._find_flow(service, now)
        if flow.ended < MIN_ENDS:
            return None
        return (ahead + 1) * FADE_PERIOD / flow.ended

    def book_return(
        self,
        service: str,
        urgency: int | None,
        ahead: int,
        time_left: float,
        now: float,
    ) -> float | None:
        """Return the seconds after which a refused caller should return.

        Parameters
        ----------
        urgency : int or None
            Priority level; returns of less urgent requests are booked behind.
        ahead : int
            Requests that wait before it.
        time_left : float
            Seconds until the caller's deadline.

        Returns
        -------
        float or None
            None if it is unknown how fast room is freed.
        """
        wait = self.estimate_wait(service, ahead, now)
        if wait is None:
            return None
        flow = self._find_flow(service, now)
        limit = max(MIN_RETRY_AFTER, MAX_RETRY_SHARE * time_left)
        spacing = FADE_PERIOD / (RETURN_SHARE * flow.ended)
        level = urgency if urgency is not None else 0
        booked = [end for each, end in flow.booked_until.items() if each <= level]
        start = max([now + wait, *booked])
        after = start + spacing * self._random.random() - now
        if after > limit:
            return limit * (0.5 + 0.5 * self._random.random())
        flow.booked_until[level] = start + spacing
        return max(MIN_RETRY_AFTER, after)

    def _find_flow(self, service: str, now: float) -> _Flow:
        flow = self._flows.get(service)
        if flow is None:
            flow = self._flows[service] = _Flow(faded_at=now)
        flow.fade(now)
        return flow
