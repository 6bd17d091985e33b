"""Live nodes, and upstreams that failed, are slow or are shutting down."""

import zlib
from dataclasses import dataclass

from tarragonrudder.core.domain.action import Action, LogDecision, ProbeUpstream
from tarragonrudder.core.domain.event import NodeAddress, UpstreamProbed, VmsListed
from tarragonrudder.core.domain.fleet import Engine
from tarragonrudder.core.domain.message import UpstreamLeaving
from tarragonrudder.core.membership.gossip import Gossip

FAILED_PERIOD = 1.0  # seconds without new work after a failure
SERVICE_FAILED_PERIOD = 5.0  # seconds, for services, which are not probed
MAX_FAILED_PERIOD = 8.0  # seconds; longest back-off between two probes
SLOW_PERIOD = 10.0  # seconds for which a slow upstream is avoided
LEAVING_PERIOD = 40.0  # seconds that a leaving notice holds; the VM list lags less
PROBE_TIMEOUT = 0.5  # seconds
REFRESH_MARGIN = 1.0  # seconds; a notice must be newer by this to be relayed again


@dataclass(slots=True)
class _Failure:
    until: float
    period: float
    probing: bool = False


class Membership:
    """Upstream state from the platform's list, own failures and peers' notices."""

    def __init__(self, name: str, gossip: Gossip) -> None:
        self._name = name
        self._gossip = gossip
        self._nodes: tuple[NodeAddress, ...] = ()
        self._engines: dict[str, str] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._leaving_since: dict[str, float] = {}
        self._failed: dict[str, _Failure] = {}
        self._slow_until: dict[str, float] = {}

    @property
    def nodes(self) -> tuple[NodeAddress, ...]:
        """All live nodes, including this one, sorted by name."""
        return self._nodes

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the other live nodes."""
        return tuple(node.name for node in self._nodes if node.name != self._name)

    def configure(self, engines: tuple[Engine, ...]) -> None:
        """Apply the engines of a new configuration."""
        self._engines = {engine.name: engine.address for engine in engines}

    def set_nodes(self, nodes: tuple[NodeAddress, ...]) -> None:
        """Replace the list of live nodes."""
        self._nodes = tuple(sorted(nodes, key=lambda node: node.name))
        self._gossip.set_peers(self.peers)

    def handle_vms(self, event: VmsListed, now: float) -> list[Action]:
        """Merge the platform's list of VMs, which may lag."""
        leaving = frozenset(vm.name for vm in event.vms if vm.leaving)
        actions: list[Action] = []
        for name in sorted(leaving - self._listed_leaving):
            actions.extend(self.mark_leaving(name, now))
        self._listed_leaving = leaving
        return actions

    def mark_failed(self, upstream: str, now: float) -> list[Action]:
        """Stop new work to an upstream until a probe succeeds or a period ends."""
        period = FAILED_PERIOD
        if upstream not in self._engines:
            period = SERVICE_FAILED_PERIOD
        self._failed[upstream] = _Failure(now + period, period)
        return [LogDecision("upstream_failed", {"upstream": upstream})]

    def mark_slow(self, upstream: str, now: float) -> list[Action]:
        """Avoid an upstream for a period."""
        self._slow_until[upstream] = now + SLOW_PERIOD
        return [LogDecision("upstream_slow", {"upstream": upstream})]

    def mark_leaving(self, upstream: str, now: float, age: float = 0.0) -> list[Action]:
        """Record that an upstream is shutting down, and tell the other nodes."""
        since = now - age
        known = self._leaving_since.get(upstream)
        if age >= LEAVING_PERIOD or (
            known is not None and since < known + REFRESH_MARGIN
        ):
            return []
        self._leaving_since[upstream] = since
        actions: list[Action] = [
            LogDecision("upstream_leaving", {"upstream": upstream})
        ]
        fact = UpstreamLeaving(upstream, age)
        actions.extend(self._gossip.spread(f"leaving:{upstream}", fact, now))
        return actions

    def handle_probe(self, event: UpstreamProbed, now: float) -> list[Action]:
        """Clear a failure after a successful probe, else back off."""
        failure = self._failed.get(event.upstream)
        if failure is None or not failure.probing:
            return []
        if event.answered:
            del self._failed[event.upstream]
            return [LogDecision("upstream_alive", {"upstream": event.upstream})]
        failure.probing = False
        failure.period = min(MAX_FAILED_PERIOD, 2 * failure.period)
        failure.until = now + failure.period
        return []

    def tick(self, now: float) -> list[Action]:
        """Probe failed upstreams and drop expired state."""
        actions: list[Action] = []
        for name, failure in list(self._failed.items()):
            if failure.until > now or failure.probing:
                continue
            address = self._engines.get(name)
            if address is None:
                del self._failed[name]
                continue
            failure.probing = True
            actions.append(ProbeUpstream(name, address, PROBE_TIMEOUT))
        for name, since in list(self._leaving_since.items()):
            if since + LEAVING_PERIOD <= now:
                del self._leaving_since[name]
        for name, until in list(self._slow_until.items()):
            if until <= now:
                del self._slow_until[name]
        return actions

    def find_engines_of_peers(self) -> frozenset[str]:
        """Return the engines on which only other nodes may run suspected requests.

        The hash of its name assigns each engine to one node.
        """
        names = [node.name for node in self._nodes]
        if self._name not in names:
            return frozenset()
        own = names.index(self._name)
        owned_by_peers = []
        for engine in self._engines:
            if zlib.crc32(engine.encode()) % len(names) != own:
                owned_by_peers.append(engine)
        return frozenset(owned_by_peers)

    def list_unusable(self, now: float) -> frozenset[str]:
        """Return the upstreams that must get no new work."""
        return self.list_leaving(now) | self._failed.keys()

    def list_leaving(self, now: float) -> frozenset[str]:
        """Return the upstreams that are shutting down."""
        names = set(self._listed_leaving)
        for name, since in self._leaving_since.items():
            if since + LEAVING_PERIOD > now:
                names.add(name)
        return frozenset(names)

    def list_slow(self, now: float) -> frozenset[str]:
        """Return the upstreams to avoid because they are slow."""
        names = [name for name, until in self._slow_until.items() if until > now]
        return frozenset(names)
