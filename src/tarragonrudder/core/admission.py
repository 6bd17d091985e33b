"""Which requests are run, which wait and which are refused at once."""

import typing as t
from collections import deque
from dataclasses import dataclass

from tarragonrudder.core.fleet import ClientAccount, Configuration, Model, Priority
from tarragonrudder.errors import Overloaded, Problem

MAX_RUNNING = 256  # answers that a node runs at once


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to be run.

    Attributes
    ----------
    deadline : float
        When the answer must be whole.
    """

    request: str
    account: ClientAccount
    priority: Priority
    model: Model
    max_tokens: int
    arrived: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """Run it now."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """It is queued; ``take_ready`` or ``take_expired`` returns it later."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """It can't be on time."""

    problem: Problem


Verdict: t.TypeAlias = Admitted | Waiting | Rejected


class Admission:
    """Queue of requests before the chains."""

    def __init__(self) -> None:
        self._running: set[str] = set()
        self._queue: deque[Ticket] = deque()

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a new request."""
        if len(self._running) < MAX_RUNNING:
            self._running.add(ticket.request)
            return Admitted()
        if len(self._queue) >= MAX_RUNNING:
            return Rejected(
                Overloaded("the fleet is busy; come back later", retry_after=1)
            )
        self._queue.append(ticket)
        return Waiting()

    def release(self, request: str, tokens: int, now: float) -> None:
        """Note that an admitted or waiting request has ended."""
        self._running.discard(request)
        self._queue = deque(item for item in self._queue if item.request != request)

    def take_ready(self, now: float) -> list[Ticket]:
        """Return queued requests that are to be run now."""
        ready = []
        while self._queue and len(self._running) < MAX_RUNNING:
            ticket = self._queue.popleft()
            self._running.add(ticket.request)
            ready.append(ticket)
        return ready

    def take_expired(self, now: float) -> list[Ticket]:
        """Return queued requests that can't be on time any more."""
        expired = [ticket for ticket in self._queue if ticket.deadline <= now]
        for ticket in expired:
            self._queue.remove(ticket)
        return expired
