"""Which upstreams may get new work, and which nodes are alive."""

from tarragonrudder.core.action import Action, LogDecision, SendPeer
from tarragonrudder.core.event import NodeAddress, VmsListed
from tarragonrudder.core.message import UpstreamLeaving

FAILED_PERIOD = 5.0  # seconds without new work after a failure
LEAVING_PERIOD = 60.0  # seconds that a leaving upstream's own word holds


class Membership:
    """Merged view of upstreams: platform's list, own failures, peers' word."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._nodes: tuple[NodeAddress, ...] = ()
        self._listed_leaving: frozenset[str] = frozenset()
        self._leaving_until: dict[str, float] = {}
        self._failed_until: dict[str, float] = {}

    @property
    def nodes(self) -> tuple[NodeAddress, ...]:
        """All live nodes, this one included, in the order of their names."""
        return self._nodes

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the other live nodes."""
        return tuple(node.name for node in self._nodes if node.name != self._name)

    def set_nodes(self, nodes: tuple[NodeAddress, ...]) -> None:
        """Replace the list of live nodes."""
        self._nodes = tuple(sorted(nodes, key=lambda node: node.name))

    def merge_vms(self, event: VmsListed) -> None:
        """Take in the platform's list, which may lag."""
        self._listed_leaving = frozenset(vm.name for vm in event.vms if vm.leaving)

    def mark_failed(self, upstream: str, now: float) -> list[Action]:
        """Give an upstream no new work for a period."""
        self._failed_until[upstream] = now + FAILED_PERIOD
        return [LogDecision("upstream_failed", {"upstream": upstream})]

    def mark_leaving(
        self, upstream: str, now: float, announce: bool = True
    ) -> list[Action]:
        """Note that an upstream is shutting down; tell the other nodes."""
        known = self._leaving_until.get(upstream, 0.0) > now
        self._leaving_until[upstream] = now + LEAVING_PERIOD
        if known or not announce:
            return []
        actions: list[Action] = [
            LogDecision("upstream_leaving", {"upstream": upstream})
        ]
        for peer in self.peers:
            actions.append(SendPeer(peer, UpstreamLeaving(upstream, 0.0)))
        return actions

    def unusable(self, now: float) -> frozenset[str]:
        """Return the upstreams that must get no new work."""
        names = set(self._listed_leaving)
        for until in (self._leaving_until, self._failed_until):
            for name, end in until.items():
                if end > now:
                    names.add(name)
        return frozenset(names)
