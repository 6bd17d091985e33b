"""Which requests are run, which wait and which are refused at once."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.admission.observation import Observation
from tarragonrudder.core.admission.share import Entry, FairQueue
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

MAX_QUEUED = 1024  # requests of one model that a node holds
MIN_WAIT = 0.1  # seconds that a request may always wait
OVERDRAFT = 1.5  # running answers over the window, for accounts under their share
MIN_RETRY_AFTER = 0.2  # seconds
MAX_RETRY_AFTER = 60.0  # seconds
LENGTH_SMOOTHING = 0.05  # weight of the newest answer's length


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


@dataclass(slots=True)
class _Usage:
    """What one account runs and has queued."""

    weight: float
    running: int = 0
    queued: int = 0


@dataclass(slots=True)
class _Pool:
    """Requests of one model version."""

    window: Window
    queue: FairQueue = field(default_factory=FairQueue)
    running: dict[str, Ticket] = field(default_factory=dict)
    usage: dict[str, _Usage] = field(default_factory=dict)
    weight: float = 0.0
    length_share: float = 1.0

    def expect_tokens(self, ticket: Ticket) -> float:
        return max(1.0, ticket.max_tokens * self.length_share)

    def expect_run(self, ticket: Ticket) -> float:
        """Return the seconds that an answer is expected to take once begun."""
        return self.window.first + self.window.gap * self.expect_tokens(ticket)

    def measure_rate(self) -> float:
        """Return the tokens per second that the running answers yield."""
        return max(1.0, len(self.running)) / self.window.gap


class Admission:
    """Queues of requests before the chains, one for each model version."""

    def __init__(self, plans: PlanCache | None = None) -> None:
        self._plans = plans if plans is not None else PlanCache()
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._busy: set[tuple[str, str]] = set()
        self._pushed_out: list[Ticket] = []
        self._node_count = 1

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""
        self._plans.configure(configuration)

    def set_node_count(self, count: int) -> None:
        """Set the number of live nodes, for the first size of windows."""
        self._node_count = max(1, count)

    def observe(self, observation: Observation) -> None:
        """Take in how fast a chain yields tokens."""
        chain = observation.chain
        pool = self._pools.get((chain.model, chain.version))
        if pool is None:
            return
        if observation.first:
            pool.window.observe_first(observation.seconds)
        else:
            pool.window.observe_gap(observation.seconds, observation.tokens)

    def offer(self, ticket: Ticket, now: float) -> Verdict:
        """Decide on a new request."""
        pool = self._find_pool(ticket, now)
        pool.window.adjust(len(pool.running), now)
        if pool.running and now + pool.expect_run(ticket) > ticket.deadline:
            return Rejected(self._refuse(pool, ticket))
        if not len(pool.queue) and len(pool.running) < int(pool.window.size):
            pool.queue.reset()
            self._run(pool, ticket)
            return Admitted()
        if self._is_under_share(pool, ticket):
            account = ticket.account
            cost = pool.expect_tokens(ticket)
            pool.queue.charge(account.name, account.weight, cost)
            self._run(pool, ticket)
            return Admitted()
        return self._enqueue(pool, ticket, now)

    def release(self, request: str, tokens: int, now: float) -> None:
        """Note that an admitted or waiting request has ended."""
        for pool in self._pools.values():
            ticket = pool.running.pop(request, None)
            if ticket is not None:
                self._leave(pool, ticket, running=True)
                if tokens > 0:
                    share = min(1.0, tokens / max(1, ticket.max_tokens))
                    pool.length_share += LENGTH_SMOOTHING * (share - pool.length_share)
                return
            entry = pool.queue.discard(request)
            if entry is not None:
                self._leave(pool, entry.item, running=False)
                return

    def take_ready(self, now: float) -> list[Ticket]:
        """Return queued requests that are to be run now."""
        ready: list[Ticket] = []
        for key in list(self._busy):
            pool = self._pools[key]
            pool.window.adjust(len(pool.running), now)
            while len(pool.running) < int(pool.window.size):
                entry = pool.queue.pop_first()
                if entry is None:
                    break
                self._leave(pool, entry.item, running=False)
                self._run(pool, entry.item)
                ready.append(entry.item)
            if not len(pool.queue):
                self._busy.discard(key)
        return ready

    def take_expired(self, now: float) -> list[Ticket]:
        """Return queued requests that can't be on time any more."""
        expired = self._pushed_out
        self._pushed_out = []
        for key in self._busy:
            pool = self._pools[key]
            entry = pool.queue.pop_expired(now)
            while entry is not None:
                self._leave(pool, entry.item, running=False)
                expired.append(entry.item)
                entry = pool.queue.pop_expired(now)
        return expired

    def refuse(self, ticket: Ticket, now: float) -> Problem:
        """Return the error of a request that is given up before it ran."""
        return self._refuse(self._find_pool(ticket, now), ticket)

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
            "first": pool.window.first,
        }

    def _find_pool(self, ticket: Ticket, now: float) -> _Pool:
        key = (ticket.model.name, ticket.model.version)
        pool = self._pools.get(key)
        if pool is None:
            # Little's law: answers in flight are tokens a second times the gap.
            plan = self._plans.find(ticket.model, frozenset(), now)
            rate = plan.bound / self._node_count
            pool = _Pool(Window(rate * TOKEN_GAP_TARGET))
            self._pools[key] = pool
        return pool

    def _enqueue(self, pool: _Pool, ticket: Ticket, now: float) -> Verdict:
        account = ticket.account
        wait = max(MIN_WAIT, FIRST_TOKEN_TARGET - pool.window.first)
        latest = min(now + wait, ticket.deadline - pool.expect_run(ticket))
        entry = Entry(
            ticket.request,
            account.name,
            account.weight,
            ticket.priority.level,
            pool.expect_tokens(ticket),
            latest,
            ticket,
        )
        pool.queue.push(entry)
        self._join(pool, ticket).queued += 1
        self._busy.add((ticket.model.name, ticket.model.version))
        limit = pool.measure_rate() * wait
        while len(pool.queue) > 1 and (
            pool.queue.cost > limit or len(pool.queue) > MAX_QUEUED
        ):
            last = pool.queue.pop_last()
            if last is None:
                break
            self._leave(pool, last.item, running=False)
            if last is entry:
                return Rejected(self._refuse(pool, ticket))
            self._pushed_out.append(last.item)
        return Waiting()

    def _is_under_share(self, pool: _Pool, ticket: Ticket) -> bool:
        """Tell whether an account may start past a full window."""
        if len(pool.running) >= OVERDRAFT * pool.window.size:
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

    def _refuse(self, pool: _Pool, ticket: Ticket) -> Problem:
        """Return an error that says when the backlog will have been served."""
        usage = pool.usage.get(ticket.account.name)
        rate = pool.measure_rate()
        wait = (pool.queue.cost + pool.expect_tokens(ticket)) / rate
        if usage is not None:
            # An account over its share is served at its share of the rate.
            own = (usage.queued + 1) * pool.expect_tokens(ticket)
            wait = max(wait, own / (rate * usage.weight / pool.weight))
        wait = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))
        message = "the fleet is busy; come back after the given time"
        return Overloaded(message, retry_after=round(wait, 2))

    def _run(self, pool: _Pool, ticket: Ticket) -> None:
        pool.running[ticket.request] = ticket
        self._join(pool, ticket).running += 1

    def _join(self, pool: _Pool, ticket: Ticket) -> _Usage:
        account = ticket.account
        usage = pool.usage.get(account.name)
        if usage is None:
            usage = _Usage(account.weight)
            pool.usage[account.name] = usage
            pool.weight += usage.weight
        return usage

    def _leave(self, pool: _Pool, ticket: Ticket, running: bool) -> None:
        usage = pool.usage[ticket.account.name]
        if running:
            usage.running -= 1
        else:
            usage.queued -= 1
        if usage.running or usage.queued:
            return
        del pool.usage[ticket.account.name]
        pool.weight = pool.weight - usage.weight if pool.usage else 0.0
