"""Registered upstreams and their health as this node sees it."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import LayerRange

INITIAL_SUSPICION = 1.0  # seconds; about the shortest restart of an upstream
MAX_SUSPICION = 8.0  # seconds; a recovered upstream must not stay idle for longer
FAILURE_MEMORY = 10.0  # seconds without a failure after which the count restarts
# Seconds after which an earlier start that is still listed is a new one, by a clock
# that was set back, and no longer an entry of a restored store.
REWRITE_PERIOD = 10.0
MAX_KNOWN_STARTS = 4096  # names whose latest start and announced end are remembered


@dataclass(frozen=True, slots=True)
class Registration:
    """What an upstream reports about itself.

    Attributes
    ----------
    name : str
        Its id; most restarts get a new one.
    born : int
        Time of its start, which distinguishes two starts under one id.
    is_peer : bool
        Whether it is another node that runs requests for this one.
    ready : bool
        False once it is draining.
    kind : str
        Accelerator kind; empty for a plain service.
    layers : LayerRange or None
        Layers that it holds; None if it holds none, or for a plain service.
    """

    name: str
    service: str
    address: str
    data_center: str
    ready: bool
    slots: int
    kind: str = ""
    layers: LayerRange | None = None
    born: int = 0
    is_peer: bool = False

    @property
    def incarnation(self) -> str:
        """Name that no other start of an upstream has."""
        return f"{self.name}@{self.born}"


@dataclass(slots=True)
class Health:
    """Failures and progress of one upstream, as seen by this node."""

    failures: int = 0
    failed_at: float = 0.0
    suspected_until: float = 0.0
    progress_at: float = -1.0


class UpstreamTable:
    """Registered upstreams by name, with their health.

    Load pattern: upstreams crash, fall silent, drain and return under load; a
    failure must divert work at once, but not for long.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, Registration] = {}
        self._expires_at: dict[str, float] = {}
        self._health: dict[str, Health] = {}
        self._by_address: dict[str, str] = {}
        self._announced_ends: dict[str, int] = {}  # latest start that did, by name
        self._listed_earlier_since: dict[str, float] = {}
        self._latest_starts: dict[str, int] = {}

    def __iter__(self) -> t.Iterator[Registration]:
        return iter(self._registrations.values())

    def find(self, name: str) -> Registration | None:
        """Return an upstream's registration."""
        return self._registrations.get(name)

    def get_latest_incarnation(self, upstream: Registration) -> str:
        """Return the latest known start of an upstream.

        A store that was restored from an older copy may list an earlier start, while
        the later one goes on.
        """
        return f"{upstream.name}@{self._find_latest_start(upstream)}"

    def find_by_address(self, address: str) -> Registration | None:
        """Return the upstream at an address."""
        return self._registrations.get(self._by_address.get(address, ""))

    def register(self, registration: Registration) -> bool:
        """Add or update a registration; return whether anything changed."""
        name = registration.name
        known = self._registrations.get(name)
        if known == registration and name not in self._expires_at:
            return False
        if known is not None and known.born != registration.born:
            self._health.pop(name, None)
        self._note_start(name, registration.born)
        self._registrations[name] = registration
        self._by_address[registration.address] = name
        self._expires_at.pop(name, None)
        return True

    def deregister(self, name: str, now: float, grace: float = 0.0) -> bool:
        """Remove a registration; return whether it was known.

        Parameters
        ----------
        grace : float
            Seconds for which it stays usable, for example after an outage in
            which registrations expired while their upstreams kept running.
        """
        if name not in self._registrations:
            return False
        if grace > 0.0:
            until = self._expires_at.get(name, 0.0)
            self._expires_at[name] = max(until, now + grace)
            return True
        self._drop(name)
        return True

    def restore(self, name: str) -> bool:
        """Cancel the removal of a registration that came back unchanged.

        Returns
        -------
        bool
            Whether it was about to be removed.
        """
        return self._expires_at.pop(name, None) is not None

    def expire(self, now: float) -> list[str]:
        """Drop registrations whose grace period is over; return their names."""
        self._forget_later_starts(now)
        gone = [name for name, at in self._expires_at.items() if at <= now]
        for name in gone:
            self._drop(name)
        return gone

    def list_ready(
        self, service: str, avoided: t.Container[str] = ()
    ) -> list[Registration]:
        """Return the upstreams of a service that are not draining."""
        found = []
        for name, registration in self._registrations.items():
            if registration.service != service or self.is_leaving(name):
                continue
            if name not in avoided:
                found.append(registration)
        return found

    def list_usable(
        self, service: str, now: float, avoided: t.Container[str] = ()
    ) -> list[Registration]:
        """Return the upstreams of a service that may get new work."""
        ready = self.list_ready(service, avoided)
        return [each for each in ready if not self.is_suspected(each.name, now)]

    def note_leaving(self, upstream: Registration) -> bool:
        """Record that an upstream announced its end; return whether that is news.

        It holds until the upstream starts anew, also while its entry is away or a
        restored store lists an earlier start.
        """
        name = upstream.name
        latest = self._find_latest_start(upstream)
        is_listed = self._registrations.get(name, upstream).born == upstream.born
        if upstream.born < latest and not is_listed:
            return False  # a late answer of an earlier start
        if self._announced_ends.get(name) == latest:
            return False
        self._announced_ends.pop(name, None)
        self._announced_ends[name] = latest
        _drop_oldest(self._announced_ends)
        return True

    def is_leaving(self, name: str) -> bool:
        """Tell whether an upstream is draining, gone or has announced its end."""
        registration = self._registrations.get(name)
        if registration is None or not registration.ready:
            return True
        if name not in self._announced_ends:
            return False
        return self._has_announced_end(registration)

    def list_leaving(self) -> list[str]:
        """Return the upstreams that have announced their end in their answers."""
        found = [self._registrations.get(name) for name in self._announced_ends]
        known = [each for each in found if each is not None]
        return sorted(each.name for each in known if self._has_announced_end(each))

    def list_announced_ends(self) -> list[str]:
        """Return the incarnations of those upstreams."""
        found = [self._registrations[name] for name in self.list_leaving()]
        return [self.get_latest_incarnation(each) for each in found]

    def is_suspected(self, name: str, now: float) -> bool:
        """Tell whether an upstream is avoided after failures."""
        health = self._health.get(name)
        return health is not None and health.suspected_until > now

    def list_suspected(self, now: float) -> list[str]:
        """Return the upstreams that are avoided now."""
        return [n for n, h in self._health.items() if h.suspected_until > now]

    def suspect(self, name: str, now: float, period: float = INITIAL_SUSPICION) -> None:
        """Avoid an upstream; a failure soon after another doubles the period."""
        health = self._health.setdefault(name, Health())
        if now - health.failed_at > FAILURE_MEMORY:
            health.failures = 0
        if now >= health.suspected_until:
            health.failures += 1
        health.failed_at = now
        length = min(MAX_SUSPICION, period * 2.0 ** (health.failures - 1))
        health.suspected_until = max(health.suspected_until, now + length)

    def clear_suspicion(self, name: str) -> None:
        """End a suspicion after another upstream was found at fault."""
        health = self._health.get(name)
        if health is not None:
            health.suspected_until = 0.0
            health.failures = max(0, health.failures - 1)

    def clear_suspicions(self) -> None:
        """End all suspicions, after this node itself was at fault."""
        for health in self._health.values():
            health.suspected_until = 0.0
            health.failures = 0

    def note_progress(self, names: t.Iterable[str], now: float) -> None:
        """Record that work has just passed through these upstreams."""
        for name in names:
            health = self._health.get(name)
            if health is None:
                health = self._health[name] = Health()
            health.progress_at = now
            if health.suspected_until > now:
                health.suspected_until = 0.0

    def find_silent(self, names: t.Iterable[str], since: float) -> tuple[str, ...]:
        """Return those upstreams that no work has passed through since a time."""
        silent = []
        for name in names:
            health = self._health.get(name)
            if health is None or health.progress_at <= since:
                silent.append(name)
        return tuple(silent)

    def _note_start(self, name: str, born: int) -> None:
        latest = max(born, self._latest_starts.pop(name, 0))
        self._latest_starts[name] = latest
        _drop_oldest(self._latest_starts)

    def _find_latest_start(self, upstream: Registration) -> int:
        return max(upstream.born, self._latest_starts.get(upstream.name, 0))

    def _has_announced_end(self, upstream: Registration) -> bool:
        latest = self._find_latest_start(upstream)
        return self._announced_ends.get(upstream.name) == latest

    def _forget_later_starts(self, now: float) -> None:
        """Take the listed starts for the latest ones where they stay listed."""
        earlier = {}
        for name in self._announced_ends:
            upstream = self._registrations.get(name)
            if upstream is None or upstream.born >= self._find_latest_start(upstream):
                continue
            earlier[name] = self._listed_earlier_since.get(name, now)
        for name, since in list(earlier.items()):
            if now - since >= REWRITE_PERIOD:
                del earlier[name], self._announced_ends[name]
                self._latest_starts[name] = self._registrations[name].born
        self._listed_earlier_since = earlier

    def _drop(self, name: str) -> None:
        registration = self._registrations.pop(name, None)
        self._expires_at.pop(name, None)
        self._health.pop(name, None)
        if registration is None:
            return
        if self._by_address.get(registration.address) == name:
            del self._by_address[registration.address]


def _drop_oldest(starts: dict[str, int]) -> None:
    while len(starts) > MAX_KNOWN_STARTS:
        del starts[next(iter(starts))]
