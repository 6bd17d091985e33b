"""Lets requests wait for a path until it is their turn to search for one."""

import trio

from tarragonrudder.core.forwarding.account_shares import AccountShares
from tarragonrudder.core.forwarding.urgency import Urgencies
from tarragonrudder.core.forwarding.wait_queue import Waiter, WaitQueue
from tarragonrudder.edges.background import BackgroundTasks

ROUND_PERIOD = 0.03  # seconds between rounds of searches
SEARCHES_PER_ROUND = 3


class PathWaiters:
    """Wakes waiting requests in the order of the queue.

    Parameters
    ----------
    urgencies : Urgencies or None
        Tells which levels starve; None if all requests are equally urgent.
    shares : AccountShares or None
        Tells what runs of each account; None if that doesn't matter.
    """

    def __init__(
        self,
        urgencies: Urgencies | None = None,
        shares: AccountShares | None = None,
    ) -> None:
        self._urgencies = urgencies if urgencies is not None else Urgencies()
        self._shares = shares if shares is not None else AccountShares()
        self._queue = WaitQueue()
        self._events: dict[Waiter, trio.Event] = {}
        self._tasks: BackgroundTasks | None = None
        self._is_running = False

    def start(self, tasks: BackgroundTasks) -> None:
        """Run the rounds as a task, while requests wait."""
        self._tasks = tasks

    def is_full(self, service: str) -> bool:
        """Tell whether no further request for a service may wait."""
        return self._queue.is_full(service)

    def has_line(self, waiter: Waiter) -> bool:
        """Tell whether a new request would overtake one that goes before it."""
        self._queue.update_ranks(self._shares.get_rank)
        rank = self._shares.get_rank(waiter.service, waiter.account)
        waiter.account_rank = rank
        return self._queue.has_line(waiter.service, waiter.urgency, rank)

    def count_ahead(self, waiter: Waiter) -> int:
        """Return how many others wait for the same service and go before it."""
        return self._queue.count_ahead(waiter)

    def count_by_level(self, service: str) -> dict[int, int]:
        """Return how many requests of each level wait for a service."""
        return self._queue.count_by_level(service)

    def make_place(self, waiter: Waiter) -> bool:
        """Return whether there is a place, if need be that of one that goes behind."""
        if not self._queue.is_full(waiter.service):
            return True
        displaced = self._queue.displace(
            waiter.service, waiter.urgency, waiter.account_rank
        )
        if displaced is None:
            return False
        self._events[displaced].set()
        return True

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    async def wait_turn(self, waiter: Waiter, until: float) -> None:
        """Wait until a request may search again, or until a time."""
        if waiter.is_displaced:
            return
        event = self._events[waiter] = trio.Event()
        if not waiter.is_resumed and waiter not in self._queue:
            # Where no request gives way, it waits as the first of its level.
            self.make_place(waiter)
        self._queue.join(waiter)
        if self._tasks is not None and not self._is_running:
            self._is_running = True
            self._tasks.start_soon(self._run_rounds)
        with trio.move_on_at(until):
            await event.wait()

    def leave(self, waiter: Waiter, is_served: bool) -> None:
        """End a request's wait; where it found room, the next may find some too."""
        self._queue.leave(waiter)
        was_waiting = self._events.pop(waiter, None) is not None
        if is_served and was_waiting:
            self._wake(1)

    def _wake(self, count: int) -> None:
        now = trio.current_time()
        self._queue.update_ranks(self._shares.get_rank)
        starved = {
            (service, level)
            for service, level in self._queue.list_levels()
            if self._urgencies.is_starved(service, level, now)
        }
        for waiter in self._queue.choose(count, starved):
            self._events[waiter].set()

    async def _run_rounds(self) -> None:
        try:
            while len(self._queue):
                await trio.sleep(ROUND_PERIOD)
                self._wake(SEARCHES_PER_ROUND)
        finally:
            self._is_running = False
