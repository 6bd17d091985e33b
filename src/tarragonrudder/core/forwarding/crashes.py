"""Opaque requests that break each upstream that begins to run them."""

import typing as t

CRASHES_TO_BLOCK = 3  # an upstream may crash by chance during any request
BLOCK_PERIOD = 120.0  # seconds; callers give up on a request long before
COUNT_PERIOD = 30.0  # seconds within which crashes are taken for one series
MAX_FINGERPRINTS = 4096


class CrashCounter:
    """Counts broken runs of each fingerprint, on all nodes together.

    Load pattern: one request comes again and again, at any node, and takes an
    upstream with it each time.
    """

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, float]] = {}
        self._peers: dict[str, dict[str, tuple[int, float]]] = {}

    def add(self, fingerprint: str, now: float) -> None:
        """Count a run that broke off together with its upstream."""
        count, at = self._own.get(fingerprint, (0, now))
        if now - at > COUNT_PERIOD:
            count = 0
        if len(self._own) >= MAX_FINGERPRINTS:
            del self._own[next(iter(self._own))]
        self._own[fingerprint] = (count + 1, now)

    def clear(self, fingerprint: str) -> None:
        """Forget a fingerprint that was answered."""
        self._own.pop(fingerprint, None)
        for counts in self._peers.values():
            counts.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Tell whether a fingerprint is refused."""
        if not self._own and not self._peers:
            return False
        total = 0
        for counts in (self._own, *self._peers.values()):
            count, at = counts.get(fingerprint, (0, 0.0))
            if now - at < BLOCK_PERIOD:
                total += count
        return total >= CRASHES_TO_BLOCK

    def snapshot_local(self) -> dict[str, int]:
        """Return the own counts, for other nodes."""
        return {key: count for key, (count, _) in self._own.items()}

    def set_peer(self, node: str, counts: t.Mapping[str, int], now: float) -> None:
        """Take in another node's counts."""
        known = self._peers.get(node, {})
        taken = {}
        for key, count in list(counts.items())[:MAX_FINGERPRINTS]:
            before = known.get(key)
            at = before[1] if before is not None and before[0] == count else now
            taken[key] = (count, at)
        if taken:
            self._peers[node] = taken
        else:
            self._peers.pop(node, None)
