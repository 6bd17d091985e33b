"""Lets requests wait for a path until it is their turn to search for one."""

import trio

from tarragonrudder.core.forwarding.wait_queue import Waiter, WaitQueue
from tarragonrudder.edges.background import BackgroundTasks

ROUND_PERIOD = 0.03  # seconds between rounds of searches
SEARCHES_PER_ROUND = 3


class PathWaiters:
    """Wakes waiting requests in the order of the queue."""

    def __init__(self) -> None:
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

    def has_line(self, service: str) -> bool:
        """Tell whether a new request for a service would overtake another one."""
        return self._queue.has_line(service)

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    async def wait_turn(self, waiter: Waiter, until: float) -> None:
        """Wait until a request may search again, or until a time."""
        event = self._events[waiter] = trio.Event()
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
        for waiter in self._queue.choose(count):
            self._events[waiter].set()

    async def _run_rounds(self) -> None:
        try:
            while len(self._queue):
                await trio.sleep(ROUND_PERIOD)
                self._wake(SEARCHES_PER_ROUND)
        finally:
            self._is_running = False
