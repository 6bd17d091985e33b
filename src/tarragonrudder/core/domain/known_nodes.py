"""The nodes of the fleet, as far as one node knows them."""

import typing as t

MAX_NODES = 4096  # names, and peers whose count is kept


class KnownNodes:
    """Remembers the nodes that were listed or heard within a period.

    Load pattern: after an outage of the store its list of nodes is empty and fills
    within seconds, and a node that starts knows only its seeds. A share computed for
    the nodes on the list alone is then many times too large, on all nodes at once.

    Parameters
    ----------
    name : str
        This node's name.
    period : float
        Seconds for which a node counts after it was last listed or heard.
    """

    def __init__(self, name: str, period: float) -> None:
        self._name = name
        self._period = period
        self._seen_at: dict[str, float] = {}
        # What each peer told last, and when.
        self._told: dict[str, tuple[int, float]] = {}
        self._is_informed = False

    def note_listed(self, names: t.Iterable[str], now: float) -> None:
        """Record the names on the store's list of nodes."""
        self._is_informed = True
        for name in names:
            self._note(name, now)

    def note_heard(self, name: str, told: int, now: float) -> None:
        """Record a message of a node.

        Parameters
        ----------
        told : int
            How many nodes it has listed or heard itself; 0 if it doesn't tell.
        """
        self._note(name, now)
        if told > 0 and (name in self._told or len(self._told) < MAX_NODES):
            self._is_informed = True
            self._told[name] = (min(told, MAX_NODES), now)

    def list_names(self, now: float) -> list[str]:
        """Return the names listed or heard within the period, and this node's."""
        oldest = now - self._period
        for name in [name for name, at in self._seen_at.items() if at < oldest]:
            del self._seen_at[name]
        return [self._name, *self._seen_at]

    def count_seen(self, now: float) -> int:
        """Return how many nodes were listed or heard, with this one.

        This is what peers are told. It leaves out what they tell, so that a count
        that is too large ends with the period.
        """
        return len(self.list_names(now))

    def count(self, now: float) -> int:
        """Return how many nodes there may be; 0 if that is unknown."""
        if not self._is_informed:
            return 0
        oldest = now - self._period
        for name in [name for name, (_, at) in self._told.items() if at < oldest]:
            del self._told[name]
        told = max((count for count, _ in self._told.values()), default=1)
        return max(told, self.count_seen(now))

    def _note(self, name: str, now: float) -> None:
        if name == self._name:
            return
        if name in self._seen_at or len(self._seen_at) < MAX_NODES:
            self._seen_at[name] = now
