"""Work in flight on each upstream, from this node and its peers."""

import typing as t
from dataclasses import dataclass

PEER_PERIOD = 2.0  # seconds after which a silent peer's load no longer counts


@dataclass(frozen=True, slots=True)
class Usage:
    """Requests and tokens of KV cache in flight on one upstream."""

    requests: int = 0
    tokens: int = 0


NO_USAGE = Usage()


class UsageTracker:
    """Tracks work in flight on each upstream.

    Load pattern: all nodes choose among the same upstreams at once; without
    each other's counts they would overload the same one.
    """

    def __init__(self) -> None:
        self._own: dict[str, Usage] = {}
        self._peers: dict[str, tuple[float, t.Mapping[str, Usage]]] = {}
        # Summed only when read, as messages arrive far more often than that.
        self._peer_totals: dict[str, Usage] | None = {}
        self._node_count = 1
        self._last_report_at = 0.0

    def start(self, names: t.Iterable[str], tokens: int) -> None:
        """Count a request that starts on these upstreams."""
        self._add(names, 1, tokens)

    def progress(self, names: t.Iterable[str], tokens: int) -> None:
        """Change what a request that runs on these upstreams is expected to hold."""
        self._add(names, 0, tokens)

    def finish(self, names: t.Iterable[str], tokens: int) -> None:
        """Remove a request that ended on these upstreams."""
        self._add(names, -1, -tokens)

    def snapshot_local(self) -> dict[str, Usage]:
        """Return this node's own work in flight, to be sent to peers."""
        return dict(self._own)

    def set_peer(self, node: str, usage: t.Mapping[str, Usage], now: float) -> None:
        """Replace a peer's work in flight."""
        self._peers[node] = (now, usage)
        self._last_report_at = now
        self._peer_totals = None

    def set_node_count(self, count: int) -> None:
        """Set how many nodes there are, this one included.

        Load pattern: in a large fleet a node receives reports from only some peers
        within ``PEER_PERIOD``; the others are assumed to have as much in flight.
        """
        self._node_count = count
        self._peer_totals = None

    def measure(self, name: str) -> Usage:
        """Return the work of all nodes in flight on an upstream."""
        return Usage(*self.count(name))

    def count(self, name: str) -> tuple[int, int]:
        """Return the requests and tokens of all nodes in flight on an upstream."""
        own = self._own.get(name, NO_USAGE)
        if self._peer_totals is None:
            self._peer_totals = self._sum_peers()
        others = self._peer_totals.get(name)
        if others is None:
            return own.requests, own.tokens
        return own.requests + others.requests, own.tokens + others.tokens

    def _add(self, names: t.Iterable[str], requests: int, tokens: int) -> None:
        for name in names:
            usage = self._own.get(name, NO_USAGE)
            count = usage.requests + requests
            if count <= 0:
                self._own.pop(name, None)
                continue
            self._own[name] = Usage(count, max(0, usage.tokens + tokens))

    def _sum_peers(self) -> dict[str, Usage]:
        sums: dict[str, list[int]] = {}
        for node, (reported_at, usage) in list(self._peers.items()):
            if self._last_report_at - reported_at > PEER_PERIOD:
                del self._peers[node]
                continue
            for name, each in usage.items():
                total = sums.setdefault(name, [0, 0])
                total[0] += each.requests
                total[1] += each.tokens
        missing = max(0, self._node_count - 1 - len(self._peers))
        scale = 1.0 + missing / max(1, len(self._peers))
        return {
            name: Usage(round(scale * total[0]), round(scale * total[1]))
            for name, total in sums.items()
        }
