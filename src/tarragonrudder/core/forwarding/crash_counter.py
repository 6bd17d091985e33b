"""Blocking of opaque requests that crash each upstream that runs them."""

import typing as t

CRASHES_TO_BLOCK = 3  # fewer may be chance: an upstream can crash during any request
BLOCK_PERIOD = 120.0  # seconds; callers give up on a request long before that
COUNT_PERIOD = 30.0  # seconds after a crash within which another adds to the count
MAX_FINGERPRINTS = 4096


class CrashCounter:
    """Counts crashes during requests of each fingerprint, over all nodes.

    Load pattern: one request is sent again and again, to any node, and crashes
    an upstream each time.
    """

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, float]] = {}
        self._peers: dict[str, dict[str, tuple[int, float]]] = {}

    def add(self, fingerprint: str, now: float) -> None:
        """Count a request during which its upstream crashed."""
        count, at = self._own.get(fingerprint, (0, now))
        if now - at > COUNT_PERIOD:
            count = 0
        if len(self._own) >= MAX_FINGERPRINTS:
            del self._own[next(iter(self._own))]
        self._own[fingerprint] = (count + 1, now)

    def clear(self, fingerprint: str) -> None:
        """Reset the count of a fingerprint that was answered."""
        self._own.pop(fingerprint, None)
        for counts in self._peers.values():
            counts.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Tell whether requests of a fingerprint are refused."""
        if not self._own and not self._peers:
            return False
        total = 0
        for counts in (self._own, *self._peers.values()):
            count, at = counts.get(fingerprint, (0, 0.0))
            if now - at < BLOCK_PERIOD:
                total += count
        return total >= CRASHES_TO_BLOCK

    def snapshot_local(self) -> dict[str, int]:
        """Return this node's own counts, to be sent to peers."""
        return {key: count for key, (count, _) in self._own.items()}

    def set_peer(self, node: str, counts: t.Mapping[str, int], now: float) -> None:
        """Replace a peer's counts; an unchanged count keeps its time."""
        known = self._peers.get(node, {})
        received = {}
        for key, count in list(counts.items())[:MAX_FINGERPRINTS]:
            before = known.get(key)
            at = before[1] if before is not None and before[0] == count else now
            received[key] = (count, at)
        if received:
            self._peers[node] = received
        else:
            self._peers.pop(node, None)
