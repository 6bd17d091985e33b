"""Admission control: decides which requests start, wait or are rejected."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.admission.attempt_observer import Observation
from tarragonrudder.core.admission.fair_queue import Entry, FairQueue
from tarragonrudder.core.admission.window import (
    FIRST_TOKEN_TARGET,
    TOKEN_GAP_TARGET,
    Window,
)
from tarragonrudder.core.domain.fleet import (
    ClientAccount,
    Configuration,
    Model,
    Priority,
)
from tarragonrudder.core.selection.plan_cache import PlanCache
from tarragonrudder.errors import Overloaded, Problem

MAX_QUEUED = 1024  # queued requests of one model on a node
MIN_WAIT = 0.1  # seconds that any request may wait in the queue
OVERCOMMIT_RATIO = 1.5  # running answers per window size, for accounts under share
MIN_RETRY_AFTER = 0.2  # seconds
MAX_RETRY_AFTER = 60.0  # seconds
LENGTH_SMOOTHING = 0.05  # weight of the newest answer's length in the average


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request for admission.

    Attributes
    ----------
    deadline : float
        Time by which the answer must be complete.
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
    """The request may start now."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """The request is queued; ``take_ready`` or ``take_expired`` returns it later."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request can't meet its deadline."""

    problem: Problem


AdmissionDecision: t.TypeAlias = Admitted | Waiting | Rejected


@dataclass(slots=True)
class _AccountUsage:
    """Running and queued requests of one account."""

    weight: float
    running: int = 0
    queued: int = 0


@dataclass(slots=True)
class _ModelPool:
    """Running and queued requests of one model version."""

    window: Window
    queue: FairQueue = field(default_factory=FairQueue)
    running: dict[str, Ticket] = field(default_factory=dict)
    usage: dict[str, _AccountUsage] = field(default_factory=dict)
    weight: float = 0.0
    length_ratio: float = 1.0

    def estimate_tokens(self, ticket: Ticket) -> float:
        return max(1.0, ticket.max_tokens * self.length_ratio)

    def estimate_duration(self, ticket: Ticket) -> float:
        """Return the expected seconds from an answer's start to its end."""
        return self.window.first_token_time + self.window.gap * self.estimate_tokens(
            ticket
        )

    def estimate_rate(self) -> float:
        """Return the tokens per second that the running answers produce."""
        return max(1.0, len(self.running)) / self.window.gap


class Admission:
    """Admits requests to the chains, with one queue per model version."""

    def __init__(self, plans: PlanCache | None = None) -> None:
        self._plans = plans if plans is not None else PlanCache()
        self._pools: dict[tuple[str, str], _ModelPool] = {}
        self._queued_pools: set[tuple[str, str]] = set()
        self._evicted: list[Ticket] = []
        self._node_count = 1

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._plans.configure(configuration)

    def set_node_count(self, count: int) -> None:
        """Set the number of live nodes, which determines initial window sizes."""
        self._node_count = max(1, count)

    def observe(self, observation: Observation) -> None:
        """Record how fast a chain produces tokens."""
        chain = observation.chain
        pool = self._pools.get((chain.model, chain.version))
        if pool is None:
            return
        if observation.first:
            pool.window.observe_first(observation.seconds)
        else:
            pool.window.observe_gap(observation.seconds, observation.tokens)

    def offer(self, ticket: Ticket, now: float) -> AdmissionDecision:
        """Admit, queue or reject a new request."""
        pool = self._find_pool(ticket, now)
        pool.window.adjust(len(pool.running), now)
        if pool.running and now + pool.estimate_duration(ticket) > ticket.deadline:
            return Rejected(self._describe_refusal(pool, ticket))
        if not len(pool.queue) and len(pool.running) < int(pool.window.size):
            pool.queue.reset()
            self._start(pool, ticket)
            return Admitted()
        if self._is_under_share(pool, ticket):
            account = ticket.account
            cost = pool.estimate_tokens(ticket)
            pool.queue.charge(account.name, account.weight, cost)
            self._start(pool, ticket)
            return Admitted()
        return self._enqueue(pool, ticket, now)

    def release(self, request: str, tokens: int, now: float) -> None:
        """Remove an admitted or queued request that has ended."""
        for pool in self._pools.values():
            ticket = pool.running.pop(request, None)
            if ticket is not None:
                self._release_usage(pool, ticket, running=True)
                if tokens > 0:
                    share = min(1.0, tokens / max(1, ticket.max_tokens))
                    pool.length_ratio += LENGTH_SMOOTHING * (share - pool.length_ratio)
                return
            entry = pool.queue.discard(request)
            if entry is not None:
                self._release_usage(pool, entry.item, running=False)
                return

    def take_ready(self, now: float) -> list[Ticket]:
        """Dequeue and return the requests that may start now."""
        ready: list[Ticket] = []
        for key in list(self._queued_pools):
            pool = self._pools[key]
            pool.window.adjust(len(pool.running), now)
            while len(pool.running) < int(pool.window.size):
                entry = pool.queue.pop_first()
                if entry is None:
                    break
                self._release_usage(pool, entry.item, running=False)
                self._start(pool, entry.item)
                ready.append(entry.item)
            if not len(pool.queue):
                self._queued_pools.discard(key)
        return ready

    def take_expired(self, now: float) -> list[Ticket]:
        """Return queued requests that were evicted or can't start in time."""
        expired = self._evicted
        self._evicted = []
        for key in self._queued_pools:
            pool = self._pools[key]
            entry = pool.queue.pop_expired(now)
            while entry is not None:
                self._release_usage(pool, entry.item, running=False)
                expired.append(entry.item)
                entry = pool.queue.pop_expired(now)
        return expired

    def describe_refusal(self, ticket: Ticket, now: float) -> Problem:
        """Return the error for a request that is dropped before it ran."""
        return self._describe_refusal(self._find_pool(ticket, now), ticket)

    def describe(self, model: Model) -> dict[str, float]:
        """Return the state of a model's queue, for logs and metrics."""
        pool = self._pools.get((model.name, model.version))
        if pool is None:
            return {}
        return {
            "window": pool.window.size,
            "running": len(pool.running),
            "queued": len(pool.queue),
            "gap": pool.window.gap,
            "first": pool.window.first_token_time,
        }

    def _find_pool(self, ticket: Ticket, now: float) -> _ModelPool:
        key = (ticket.model.name, ticket.model.version)
        pool = self._pools.get(key)
        if pool is None:
            # Little's law: answers in flight = tokens per second * token gap.
            plan = self._plans.find(ticket.model, frozenset(), now)
            rate = plan.bound / self._node_count
            pool = _ModelPool(Window(rate * TOKEN_GAP_TARGET))
            self._pools[key] = pool
        return pool

    def _enqueue(
        self, pool: _ModelPool, ticket: Ticket, now: float
    ) -> AdmissionDecision:
        account = ticket.account
        wait = max(MIN_WAIT, FIRST_TOKEN_TARGET - pool.window.first_token_time)
        latest = min(now + wait, ticket.deadline - pool.estimate_duration(ticket))
        entry = Entry(
            ticket.request,
            account.name,
            account.weight,
            ticket.priority.level,
            pool.estimate_tokens(ticket),
            latest,
            ticket,
        )
        pool.queue.push(entry)
        self._get_usage(pool, ticket).queued += 1
        self._queued_pools.add((ticket.model.name, ticket.model.version))
        limit = pool.estimate_rate() * wait
        while len(pool.queue) > 1 and (
            pool.queue.cost > limit or len(pool.queue) > MAX_QUEUED
        ):
            last = pool.queue.pop_last()
            if last is None:
                break
            self._release_usage(pool, last.item, running=False)
            if last is entry:
                return Rejected(self._describe_refusal(pool, ticket))
            self._evicted.append(last.item)
        return Waiting()

    def _is_under_share(self, pool: _ModelPool, ticket: Ticket) -> bool:
        """Tell whether an account below its share may start despite a full window."""
        if len(pool.running) >= OVERCOMMIT_RATIO * pool.window.size:
            return False
        level = pool.queue.find_level()
        if level is not None and level < ticket.priority.level:
            return False
        account = ticket.account
        usage = pool.usage.get(account.name)
        running = usage.running if usage is not None else 0
        if usage is not None and usage.queued:
            return False
        weight = pool.weight + (0.0 if usage is not None else account.weight)
        share = account.weight / weight * pool.window.size
        return running < share

    def _describe_refusal(self, pool: _ModelPool, ticket: Ticket) -> Problem:
        """Return an error with the time after which the backlog should be served."""
        usage = pool.usage.get(ticket.account.name)
        rate = pool.estimate_rate()
        wait = (pool.queue.cost + pool.estimate_tokens(ticket)) / rate
        if usage is not None:
            # An account over its share is served only at its share of the rate.
            own = (usage.queued + 1) * pool.estimate_tokens(ticket)
            wait = max(wait, own / (rate * usage.weight / pool.weight))
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        message = "the fleet is busy; come back after the given time"
        return Overloaded(message, retry_after=round(wait, 2))

    def _start(self, pool: _ModelPool, ticket: Ticket) -> None:
        pool.running[ticket.request] = ticket
        self._get_usage(pool, ticket).running += 1

    def _get_usage(self, pool: _ModelPool, ticket: Ticket) -> _AccountUsage:
        account = ticket.account
        usage = pool.usage.get(account.name)
        if usage is None:
            usage = _AccountUsage(account.weight)
            pool.usage[account.name] = usage
            pool.weight += usage.weight
        return usage

    def _release_usage(self, pool: _ModelPool, ticket: Ticket, running: bool) -> None:
        usage = pool.usage[ticket.account.name]
        if running:
            usage.running -= 1
        else:
            usage.queued -= 1
        if usage.running or usage.queued:
            return
        del pool.usage[ticket.account.name]
        pool.weight = pool.weight - usage.weight if pool.usage else 0.0
