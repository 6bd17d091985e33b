"""Requests of this node that wait for a path, and their order."""

from dataclasses import dataclass

# For one service; a node admits a few requests a second, and they wait briefly.
MAX_WAITING = 64


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a path.

    Attributes
    ----------
    service : str
        Service whose upstreams it needs.
    is_resumed : bool
        Whether its caller has a part of the answer already.
    expires_at : float
        Time until which it may wait.
    """

    service: str
    is_resumed: bool
    expires_at: float = 0.0


class WaitQueue:
    """Decides which waiting requests search for a path next.

    Load pattern: a burst or a lost stage leaves tens of requests of one node without a
    path. Whatever their number, the node searches a bounded number of times a second,
    and the room that appears goes to them in their order: broken streams, whose
    callers leave soon, then those that may wait the shortest.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._turn = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def is_full(self, service: str) -> bool:
        """Tell whether no further request for a service may wait."""
        waiting = sum(waiter.service == service for waiter in self._waiters)
        return waiting >= MAX_WAITING

    def has_line(self, service: str) -> bool:
        """Tell whether a new request for a service would overtake another one."""
        return any(
            waiter.service == service and not waiter.is_resumed
            for waiter in self._waiters
        )

    def join(self, waiter: Waiter) -> None:
        """Add a request, or update its place."""
        if waiter not in self._waiters:
            self._waiters.append(waiter)
        self._waiters.sort(key=_get_order)

    def leave(self, waiter: Waiter) -> None:
        """Remove a request, if it is there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def choose(self, count: int) -> list[Waiter]:
        """Return up to `count` requests that may search now.

        The first one is always among them. The others take turns, since what keeps
        the first from being served, such as the upstreams that failed it, need not
        concern them.
        """
        chosen = self._waiters[:1]
        others = self._waiters[1:]
        for _ in range(min(count - 1, len(others))):
            self._turn = (self._turn + 1) % len(others)
            chosen.append(others[self._turn])
        return chosen


def _get_order(waiter: Waiter) -> tuple[bool, float]:
    return (not waiter.is_resumed, waiter.expires_at)
