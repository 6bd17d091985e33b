"""How fast answers come: the node's own measure of the fleet's state."""

from dataclasses import dataclass

from tarragonrudder.core.domain.action import Action, CancelAttempt, StartAttempt
from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.event import AttemptEnded, Event, TokensArrived


@dataclass(frozen=True, slots=True)
class Observation:
    """What one message of an attempt tells about its chain.

    Attributes
    ----------
    first : bool
        Whether these were the attempt's first tokens.
    seconds : float
        Seconds since the attempt began, or else for each of the tokens.
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
    """Follows attempts from the events and actions that pass the node."""

    def __init__(self) -> None:
        self._tracks: dict[str, _TrackedAttempt] = {}

    def __len__(self) -> int:
        return len(self._tracks)

    def observe_event(self, event: Event, now: float) -> Observation | None:
        """Return what an event tells, if it does."""
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
        """Follow the attempts that the node starts and cancels."""
        for action in actions:
            if isinstance(action, StartAttempt):
                track = _TrackedAttempt(action.attempt, action.chain, now)
                self._tracks[action.request] = track
            elif isinstance(action, CancelAttempt):
                self._drop(action.request, action.attempt)

    def forget(self, request: str) -> None:
        """Stop following a request that has ended."""
        self._tracks.pop(request, None)

    def _drop(self, request: str, attempt: int) -> None:
        track = self._tracks.get(request)
        if track is not None and track.attempt == attempt:
            del self._tracks[request]
