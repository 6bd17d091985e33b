"""Queue that serves client accounts in proportion to their weights.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): an entry's start tag is
the virtual time from which its account may be served again, so an account that
sends much waits behind one that sends little. Every operation takes O(log n).
"""

import heapq
import typing as t
from dataclasses import dataclass

MAX_FINISH_TAGS = 4096  # accounts; above it, tags in the virtual past are dropped


@dataclass(frozen=True, slots=True)
class Entry:
    """A queued item.

    Attributes
    ----------
    cost : float
        Expected work, in tokens.
    latest : float
        Latest time at which the item may still start.
    """

    name: str
    account: str
    weight: float
    level: int
    cost: float
    latest: float
    item: t.Any


class FairQueue:
    """Priority queue, ordered by level and then by weighted fair share."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._first_heap: list[tuple[int, float, int, str]] = []
        self._last_heap: list[tuple[int, float, int, str]] = []
        self._expiry_heap: list[tuple[float, int, str]] = []
        self._numbers: dict[str, int] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._count = 0
        self._cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def cost(self) -> float:
        """Expected work of all items, in tokens."""
        return self._cost

    def push(self, entry: Entry) -> None:
        """Add an item."""
        self._count += 1
        number = self._count
        tag = max(self._virtual_time, self._finish_tags.get(entry.account, 0.0))
        self._finish_tags[entry.account] = tag + entry.cost / entry.weight
        self._entries[entry.name] = entry
        self._numbers[entry.name] = number
        self._cost += entry.cost
        heapq.heappush(self._first_heap, (entry.level, tag, number, entry.name))
        heapq.heappush(self._last_heap, (-entry.level, -tag, -number, entry.name))
        heapq.heappush(self._expiry_heap, (entry.latest, number, entry.name))
        self._drop_past_tags()

    def charge(self, account: str, weight: float, cost: float) -> None:
        """Charge an account for work that bypassed the queue."""
        tag = max(self._virtual_time, self._finish_tags.get(account, 0.0))
        self._finish_tags[account] = tag + cost / weight
        self._drop_past_tags()

    def pop_first(self) -> Entry | None:
        """Remove and return the item that is served next, or None if empty."""
        while self._first_heap:
            _, tag, number, name = heapq.heappop(self._first_heap)
            if self._numbers.get(name) != number:
                continue
            self._virtual_time = max(self._virtual_time, tag)
            return self._remove(name)
        return None

    def pop_last(self) -> Entry | None:
        """Remove and return the item that would be served last."""
        while self._last_heap:
            _, _, number, name = heapq.heappop(self._last_heap)
            if self._numbers.get(name) != -number:
                continue
            return self._remove_unserved(name)
        return None

    def pop_expired(self, now: float) -> Entry | None:
        """Remove and return an item that can't start in time any more."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, number, name = heapq.heappop(self._expiry_heap)
            if self._numbers.get(name) == number:
                return self._remove_unserved(name)
        return None

    def discard(self, name: str) -> Entry | None:
        """Remove and return an item by name, or None if it is not queued."""
        if name not in self._entries:
            return None
        return self._remove_unserved(name)

    def find_level(self) -> int | None:
        """Return the priority level that is served next, or None if empty."""
        while (
            self._first_heap
            and self._numbers.get(self._first_heap[0][3]) != self._first_heap[0][2]
        ):
            heapq.heappop(self._first_heap)
        return self._first_heap[0][0] if self._first_heap else None

    def reset(self) -> None:
        """Clear the charged work of all accounts, once nothing has to wait."""
        self._finish_tags.clear()
        self._virtual_time = 0.0

    def _remove_unserved(self, name: str) -> Entry:
        """Remove an item and refund its cost to its account."""
        entry = self._remove(name)
        if entry.account in self._finish_tags:
            self._finish_tags[entry.account] -= entry.cost / entry.weight
        return entry

    def _remove(self, name: str) -> Entry:
        entry = self._entries.pop(name)
        del self._numbers[name]
        self._cost = self._cost - entry.cost if self._entries else 0.0
        self._compact()
        return entry

    def _compact(self) -> None:
        """Rebuild heaps whose stale items exceed a multiple of the live ones."""
        limit = 4 * len(self._entries) + 64
        live = self._numbers
        if len(self._first_heap) > limit:
            self._first_heap = [
                each for each in self._first_heap if live.get(each[3]) == each[2]
            ]
            heapq.heapify(self._first_heap)
        if len(self._last_heap) > limit:
            self._last_heap = [
                each for each in self._last_heap if live.get(each[3]) == -each[2]
            ]
            heapq.heapify(self._last_heap)
        if len(self._expiry_heap) > limit:
            kept = [each for each in self._expiry_heap if live.get(each[2]) == each[1]]
            self._expiry_heap = kept
            heapq.heapify(self._expiry_heap)

    def _drop_past_tags(self) -> None:
        if len(self._finish_tags) <= MAX_FINISH_TAGS:
            return
        for account, tag in list(self._finish_tags.items()):
            if tag <= self._virtual_time:
                del self._finish_tags[account]
