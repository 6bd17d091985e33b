"""Token latencies that the node measures on its own attempts."""

from dataclasses import dataclass

from tarragonrudder.core.domain.action import Action, CancelAttempt, StartAttempt
from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.event import AttemptEnded, Event, TokensArrived


@dataclass(frozen=True, slots=True)
class Observation:
    """Latency of one batch of tokens, measured for the attempt's chain.

    Attributes
    ----------
    first : bool
        Whether these are the attempt's first tokens.
    seconds : float
        Seconds since the attempt started if `first`, else seconds per token.
    """

    chain: Chain
    first: bool
    seconds: float
    tokens: int


@dataclass(slots=True)
class _TrackedAttempt:
    attempt: int
    chain: Chain
    since: float
    received_first: bool = False


class AttemptObserver:
    """Tracks attempts by the node's events and actions."""

    def __init__(self) -> None:
        self._tracks: dict[str, _TrackedAttempt] = {}

    def __len__(self) -> int:
        return len(self._tracks)

    def observe_event(self, event: Event, now: float) -> Observation | None:
        """Return the observation that an event yields, if any."""
        if not isinstance(event, TokensArrived):
            if isinstance(event, AttemptEnded):
                self._drop(event.request, event.attempt)
            return None
        track = self._tracks.get(event.request)
        if track is None or track.attempt != event.attempt or not event.tokens:
            return None
        count = len(event.tokens)
        first = not track.received_first
        seconds = now - track.since
        track.received_first = True
        track.since = now
        if first:
            return Observation(track.chain, True, seconds, count)
        return Observation(track.chain, False, seconds / count, count)

    def observe_actions(self, actions: list[Action], now: float) -> None:
        """Start or stop tracking the attempts that the node starts or cancels."""
        for action in actions:
            if isinstance(action, StartAttempt):
                track = _TrackedAttempt(action.attempt, action.chain, now)
                self._tracks[action.request] = track
            elif isinstance(action, CancelAttempt):
                self._drop(action.request, action.attempt)

    def forget(self, request: str) -> None:
        """Stop tracking a request that has ended."""
        self._tracks.pop(request, None)

    def _drop(self, request: str, attempt: int) -> None:
        track = self._tracks.get(request)
        if track is not None and track.attempt == attempt:
            del self._tracks[request]
