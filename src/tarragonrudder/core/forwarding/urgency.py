"""Urgency of requests for one service, and the room held back for the more urgent."""

import math
from dataclasses import dataclass

from tarragonrudder.core.domain.route import Account, Route, RouteTable

# Seconds in which a count falls to 1/e; a node sees a few requests of a level in them.
FADE_PERIOD = 10.0
# Part of a stage's room that a request leaves free for each more urgent level.
HELD_SHARE = 0.04
MAX_HELD_SHARE = 0.1
# Faded count from which on a level has requests: one came within some seven seconds.
ACTIVE_COUNT = 0.5
# A level starves if it begins less than this share as often as all of its service.
STARVED_SHARE = 0.4
MIN_COUNT = 3.0  # faded arrivals below which nothing is said of a level


@dataclass(slots=True)
class _Count:
    """Requests of one level that arrived and that began, faded."""

    arrived: float = 0.0
    begun: float = 0.0
    faded_at: float = 0.0

    def fade(self, now: float) -> None:
        """Let the counts fade until `now`."""
        factor = math.exp(-max(0.0, now - self.faded_at) / FADE_PERIOD)
        self.arrived *= factor
        self.begun *= factor
        self.faded_at = max(now, self.faded_at)


class Urgencies:
    """Decides what requests of one level leave to those of another one.

    Load pattern: a burst of one kind of request fills the engines of a service that
    serves several kinds. Room that frees up goes to the more urgent ones, and the less
    urgent still get a part of it. While a service has one level nothing is counted.
    """

    def __init__(self) -> None:
        self._levels: dict[str, tuple[int, ...]] = {}
        self._counts: dict[str, dict[int, _Count]] = {}

    def adopt(self, table: RouteTable) -> None:
        """Read the levels of each service from a configuration."""
        self._levels = {}
        for service in table.services:
            levels = _list_levels(table, service)
            if len(levels) > 1:
                self._levels[service] = levels
        for service in self._counts.keys() - self._levels.keys():
            del self._counts[service]
        for service, levels in self._levels.items():
            known = self._counts.get(service, {})
            self._counts[service] = {
                level: known.get(level, _Count()) for level in levels
            }

    def list_services(self) -> tuple[str, ...]:
        """Return the services that distinguish levels."""
        return tuple(self._levels)

    def list_levels(self, service: str) -> tuple[int, ...]:
        """Return the levels of a service, most urgent first; empty if all are equal."""
        return self._levels.get(service, ())

    def find_level(
        self, route: Route, account: Account | None, service: str
    ) -> int | None:
        """Return a request's level, None if its service has only one."""
        if service not in self._levels:
            return None
        if account is not None and account.level is not None:
            return account.level
        return route.level

    def note_arrival(self, service: str, level: int | None, now: float) -> None:
        """Count a new request."""
        count = self._find_count(service, level)
        if count is not None:
            count.fade(now)
            count.arrived += 1.0

    def note_begun(self, service: str, level: int | None, now: float) -> None:
        """Count a request that is sent for the first time."""
        count = self._find_count(service, level)
        if count is not None:
            count.fade(now)
            count.begun += 1.0

    def is_starved(self, service: str, level: int | None, now: float) -> bool:
        """Tell whether a level began far less often than all of its service."""
        count = self._find_count(service, level)
        if count is None:
            return False
        arrived = begun = 0.0
        for each in self._counts[service].values():
            each.fade(now)
            arrived += each.arrived
            begun += each.begun
        if count.arrived < MIN_COUNT:
            return False
        return count.begun * arrived < STARVED_SHARE * begun * count.arrived

    def measure_held_share(self, service: str, level: int | None, now: float) -> float:
        """Return the part of each stage's room that a request must leave free."""
        if level is None or self.is_starved(service, level, now):
            return 0.0
        active = 0
        for other, count in self._counts.get(service, {}).items():
            count.fade(now)
            active += other < level and count.arrived >= ACTIVE_COUNT
        return min(MAX_HELD_SHARE, HELD_SHARE * active)

    def _find_count(self, service: str, level: int | None) -> _Count | None:
        if level is None:
            return None
        # A request may outlive the configuration that named its level.
        return self._counts.get(service, {}).get(level)


def _list_levels(table: RouteTable, service: str) -> tuple[int, ...]:
    levels: set[int] = set()
    for route in table.routes:
        if service not in (name for name, _ in route.targets):
            continue
        levels.update(table.account_levels)
        if table.has_unranked_callers or route.anonymous:
            levels.add(route.level)
    return tuple(sorted(levels))
