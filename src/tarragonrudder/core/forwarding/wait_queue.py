"""Requests of this node that wait for a path, and their order."""

import typing as t
from dataclasses import dataclass

# For one service; a node admits a few requests a second, and they wait briefly.
MAX_WAITING = 64
KEPT_PLACES = 8  # of one level, which more urgent requests leave to it
# Rounds of which one lets a request search that waits behind others by its rank.
BEHIND_ROUNDS = 4
NONE_STARVED: frozenset[tuple[str, int]] = frozenset()


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
    urgency : int or None
        Priority level; None if its service has only one.
    is_displaced : bool
        Whether a request that goes before it has taken its place.
    account : str
        Client account, empty without one.
    account_rank : int
        Rank of the account by what runs of it; the lower, the sooner.
    """

    service: str
    is_resumed: bool
    expires_at: float = 0.0
    urgency: int | None = None
    is_displaced: bool = False
    account: str = ""
    account_rank: int = 0

    @property
    def level(self) -> int:
        """Priority level, 0 without one."""
        return self.urgency if self.urgency is not None else 0

    @property
    def rank(self) -> tuple[int, int]:
        """Level and rank of the account; the lower, the sooner it gets room."""
        return self.level, self.account_rank


class WaitQueue:
    """Decides which waiting requests search for a path next.

    Load pattern: a burst or a lost stage leaves tens of requests of one node without a
    path. Whatever their number, the node searches a bounded number of times a second,
    and the room that appears goes to them in their order: broken streams, whose
    callers leave soon, then the more urgent, then those of accounts of which less runs,
    then those that may wait the shortest.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._turn = 0
        self._behind_turn = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, waiter: object) -> bool:
        return waiter in self._waiters

    def is_full(self, service: str) -> bool:
        """Tell whether no further request for a service may wait."""
        waiting = sum(waiter.service == service for waiter in self._waiters)
        return waiting >= MAX_WAITING

    def has_line(
        self, service: str, urgency: int | None = None, account_rank: int = 0
    ) -> bool:
        """Tell whether a new request would overtake one that goes before it."""
        rank = (urgency if urgency is not None else 0, account_rank)
        return any(
            waiter.service == service and not waiter.is_resumed and waiter.rank <= rank
            for waiter in self._waiters
        )

    def count_ahead(self, waiter: Waiter) -> int:
        """Return how many others wait for the same service and go before it."""
        return sum(
            other.service == waiter.service
            and other is not waiter
            and (other.is_resumed or other.rank <= waiter.rank)
            for other in self._waiters
        )

    def count_by_level(self, service: str) -> dict[int, int]:
        """Return how many requests of each level wait for a service."""
        counts: dict[int, int] = {}
        for waiter in self._waiters:
            if waiter.service == service:
                counts[waiter.level] = counts.get(waiter.level, 0) + 1
        return counts

    def update_ranks(self, find_rank: t.Callable[[str, str], int]) -> None:
        """Find the ranks of the waiting requests' accounts anew."""
        for waiter in self._waiters:
            waiter.account_rank = find_rank(waiter.service, waiter.account)

    def list_levels(self) -> set[tuple[str, int]]:
        """Return the services and levels of which requests wait."""
        return {
            (waiter.service, waiter.urgency)
            for waiter in self._waiters
            if waiter.urgency is not None
        }

    def displace(
        self, service: str, urgency: int | None, account_rank: int = 0
    ) -> Waiter | None:
        """Remove the last of the requests that wait, for one that goes before it.

        Returns
        -------
        Waiter or None
            None if no request goes behind, or none may lose its place.
        """
        rank = (urgency if urgency is not None else 0, account_rank)
        counts = self.count_by_level(service)
        found: Waiter | None = None
        for waiter in self._waiters:
            if waiter.service != service or waiter.is_resumed:
                continue
            if waiter.rank <= rank:
                continue
            if waiter.level > rank[0] and counts[waiter.level] <= KEPT_PLACES:
                continue
            if found is None or _get_order(waiter) > _get_order(found):
                found = waiter
        if found is not None:
            found.is_displaced = True
            self._waiters.remove(found)
        return found

    def join(self, waiter: Waiter) -> None:
        """Add a request, or update its place."""
        if waiter not in self._waiters:
            self._waiters.append(waiter)
        self._waiters.sort(key=_get_order)

    def leave(self, waiter: Waiter) -> None:
        """Remove a request, if it is there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def choose(
        self, count: int, starved: t.Container[tuple[str, int]] = NONE_STARVED
    ) -> list[Waiter]:
        """Return up to `count` requests that may search now.

        The first one is always among them. The others take turns, since what keeps
        the first from being served, such as the upstreams that failed it, need not
        concern them. Those behind others by their rank get fewer turns.

        Parameters
        ----------
        starved : container of (str, int)
            Services and levels that go before more urgent ones.
        """
        ordered = sorted(self._waiters, key=lambda each: _get_rank(each, starved))
        chosen = ordered[:1]
        others, behind = self._split(ordered[1:], starved)
        if behind and count > 1:
            self._behind_turn += 1
            turn, remainder = divmod(self._behind_turn, BEHIND_ROUNDS)
            if remainder == 0:
                chosen.append(behind[turn % len(behind)])
        for _ in range(min(count - len(chosen), len(others))):
            self._turn = (self._turn + 1) % len(others)
            chosen.append(others[self._turn])
        return chosen

    def _split(
        self, waiters: t.Iterable[Waiter], starved: t.Container[tuple[str, int]]
    ) -> tuple[list[Waiter], list[Waiter]]:
        """Return those before which no request goes by its rank, and the rest."""
        leading: dict[str, tuple[int, int]] = {}
        for waiter in self._waiters:
            if not waiter.is_resumed:
                least = leading.get(waiter.service, waiter.rank)
                leading[waiter.service] = min(least, waiter.rank)
        others, behind = [], []
        for waiter in waiters:
            is_behind = not waiter.is_resumed
            is_behind = is_behind and waiter.rank > leading[waiter.service]
            is_behind = is_behind and (waiter.service, waiter.level) not in starved
            (behind if is_behind else others).append(waiter)
        return others, behind


def _get_order(waiter: Waiter) -> tuple[bool, tuple[int, int], float]:
    return (not waiter.is_resumed, waiter.rank, waiter.expires_at)


def _get_rank(
    waiter: Waiter, starved: t.Container[tuple[str, int]]
) -> tuple[bool, bool, tuple[int, int], float]:
    is_starved = (waiter.service, waiter.level) in starved
    return (not waiter.is_resumed, not is_starved, waiter.rank, waiter.expires_at)
