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
        self._tracked: dict[str, _TrackedAttempt] = {}

    def __len__(self) -> int:
        return len(self._tracked)

    def observe_event(self, event: Event, now: float) -> Observation | None:
        """Return the observation that an event yields, if any."""
        if not isinstance(event, TokensArrived):
            if isinstance(event, AttemptEnded):
                self._drop(event.request, event.attempt)
            return None
        tracked = self._tracked.get(event.request)
        if tracked is None or tracked.attempt != event.attempt or not event.tokens:
            return None
        count = len(event.tokens)
        first = not tracked.received_first
        seconds = now - tracked.since
        tracked.received_first = True
        tracked.since = now
        if first:
            return Observation(tracked.chain, True, seconds, count)
        return Observation(tracked.chain, False, seconds / count, count)

    def observe_actions(self, actions: list[Action], now: float) -> None:
        """Start or stop tracking the attempts that the node starts or cancels."""
        for action in actions:
            if isinstance(action, StartAttempt):
                tracked = _TrackedAttempt(action.attempt, action.chain, now)
                self._tracked[action.request] = tracked
            elif isinstance(action, CancelAttempt):
                self._drop(action.request, action.attempt)

    def forget(self, request: str) -> None:
        """Stop tracking a request that has ended."""
        self._tracked.pop(request, None)

    def _drop(self, request: str, attempt: int) -> None:
        tracked = self._tracked.get(request)
        if tracked is not None and tracked.attempt == attempt:
            del self._tracked[request]
