"""Other nodes, as far as they can run requests for this one."""

import random
import typing as t
from dataclasses import dataclass

from tarragonrudder.core.forwarding.upstream_table import Registration

REPORT_PERIOD = 2.0  # seconds for which a node counts as alive after its last report
FAILURE_PERIOD = 1.0  # seconds for which a node that failed a request is not asked
# Running requests that weigh as much as another data centre.
REMOTE_REQUESTS = 4.0
MAX_PEERS = 4096
NAME_PREFIX = "node:"  # keeps the names of nodes apart from those of upstreams


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What a node tells of itself.

    Attributes
    ----------
    address : str
        ``HOST:PORT`` at which it takes requests of other nodes; empty for none.
    active : int
        Requests that it runs now, for callers and for other nodes.
    is_available : bool
        False while it is cut off from the upstreams itself, or stopping.
    """

    address: str
    data_center: str
    active: int
    is_available: bool


@dataclass(slots=True)
class _Peer:
    report: PeerReport
    heard_at: float
    avoided_until: float = 0.0
    sent: int = 0  # requests since its last report


class PeerTable:
    """Chooses which node runs a request that this one can't.

    Load pattern: most nodes of a data centre are cut off at once, and the others must
    not fall under what these pass on.
    """

    def __init__(self, data_center: str, source: random.Random) -> None:
        self._data_center = data_center
        self._random = source
        self._peers: dict[str, _Peer] = {}

    def update(self, node: str, report: PeerReport, now: float) -> None:
        """Replace what is known of a node."""
        name = NAME_PREFIX + node
        known = self._peers.get(name)
        if known is None and len(self._peers) >= MAX_PEERS:
            return
        if known is None:
            self._peers[name] = _Peer(report, now)
            return
        known.report, known.heard_at, known.sent = report, now, 0

    def find(self, name: str) -> Registration | None:
        """Return a node as the target of a request."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        return Registration(
            name=name,
            service="",
            address=peer.report.address,
            data_center=peer.report.data_center,
            ready=True,
            slots=0,
            is_peer=True,
        )

    def choose(self, avoided: t.Container[str], now: float) -> Registration | None:
        """Return the least loaded node that can run a request, None without one."""
        best, best_load = None, 0.0
        for name in self._list_available(now):
            if name in avoided:
                continue
            peer = self._peers[name]
            load = peer.report.active + peer.sent + self._random.random()
            if peer.report.data_center != self._data_center:
                load += REMOTE_REQUESTS
            if best is None or load < best_load:
                best, best_load = name, load
        return self.find(best) if best is not None else None

    def count_available(self, now: float) -> int:
        """Return how many nodes can run requests for this one."""
        return len(self._list_available(now))

    def note_sent(self, name: str) -> None:
        """Count a request that was passed on to a node."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.sent += 1

    def avoid(self, name: str, now: float) -> None:
        """Don't choose a node for a while, after it failed a request."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoided_until = now + FAILURE_PERIOD

    def expire(self, now: float) -> None:
        """Drop nodes that have not been heard for long."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > 10.0 * REPORT_PERIOD:
                del self._peers[name]

    def _list_available(self, now: float) -> list[str]:
        found = []
        for name, peer in self._peers.items():
            report = peer.report
            if not report.is_available or not report.address:
                continue
            if now - peer.heard_at <= REPORT_PERIOD and now >= peer.avoided_until:
                found.append(name)
        return found
