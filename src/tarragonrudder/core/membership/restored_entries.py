"""Entries of a restored store that are older than what this node knows."""

import typing as t
from dataclasses import dataclass

# Seconds for which a departure is remembered; a copy is some seconds old.
DEPARTURE_MEMORY = 60.0
MAX_DEPARTURES = 4096
# Seconds in which each upstream that lives has written its entry again, and those of
# others have lapsed: a grace to return, then three missed heartbeats.
HOLD_PERIOD = 6.0


@dataclass(frozen=True, slots=True)
class HeldEntry:
    """An entry that is not applied, as nobody may have written it since the copy."""

    name: str
    value: bytes
    revision: int
    held_until: float


class RestoredEntries:
    """Holds back entries of upstreams that had left before the store was restored.

    Load pattern: the store comes back from a copy some seconds old, in which an
    upstream that has left since is still ready. Sent there, requests would reach
    an upstream that is shutting down, on all nodes at once.
    """

    def __init__(self) -> None:
        self._departures: dict[str, tuple[int, float]] = {}
        self._held: dict[str, HeldEntry] = {}

    def __len__(self) -> int:
        return len(self._held)

    def note_departure(self, name: str, born: int, now: float) -> None:
        """Record that an upstream is draining or gone; `born` tells its start."""
        self._departures.pop(name, None)
        self._departures[name] = (born, now)
        while len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]

    def note_written(self, name: str) -> None:
        """Record that an upstream has written its entry, and has not left so far."""
        self._held.pop(name, None)
        self._departures.pop(name, None)

    def hold(
        self, name: str, born: int, value: bytes, revision: int, now: float
    ) -> bool:
        """Hold back an entry that a listing of a restored store has as ready.

        Returns
        -------
        bool
            False if nothing speaks against it.
        """
        departure = self._departures.get(name)
        if departure is None or departure[0] != born:
            return False
        if now - departure[1] > DEPARTURE_MEMORY:
            return False
        self._held[name] = HeldEntry(name, value, revision, now + HOLD_PERIOD)
        return True

    def is_held(self, name: str, revision: int) -> bool:
        """Tell whether a listed entry is the one that is held back."""
        held = self._held.get(name)
        return held is not None and held.revision == revision

    def retain(self, names: t.Container[str]) -> None:
        """Forget the entries that a listing no longer has."""
        for name in [name for name in self._held if name not in names]:
            del self._held[name]

    def pop_due(self, now: float) -> list[HeldEntry]:
        """Remove and return the entries that are still there after `HOLD_PERIOD`."""
        due = [held for held in self._held.values() if held.held_until <= now]
        for held in due:
            del self._held[held.name]
        return due
