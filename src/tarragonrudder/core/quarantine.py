"""Requests that crash the upstreams that run them."""

from tarragonrudder.core.action import Action, LogDecision, SendPeer
from tarragonrudder.core.message import FingerprintBlocked

QUARANTINE_PERIOD = 300.0  # seconds that a fingerprint is refused
CRASHES_TO_BLOCK = 2


class Quarantine:
    """Counts crashes by fingerprint and refuses the ones that repeat."""

    def __init__(self) -> None:
        self._crashes: dict[str, int] = {}
        self._blocked_until: dict[str, float] = {}

    def check(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a fingerprint is refused, 0 if not."""
        return max(0.0, self._blocked_until.get(fingerprint, 0.0) - now)

    def record_crash(
        self, fingerprint: str, peers: tuple[str, ...], now: float
    ) -> list[Action]:
        """Count a crash of an upstream that ran this fingerprint."""
        count = self._crashes.get(fingerprint, 0) + 1
        self._crashes[fingerprint] = count
        if count < CRASHES_TO_BLOCK:
            return []
        self._blocked_until[fingerprint] = now + QUARANTINE_PERIOD
        actions: list[Action] = [
            LogDecision("fingerprint_blocked", {"fingerprint": fingerprint})
        ]
        for peer in peers:
            message = FingerprintBlocked(fingerprint, QUARANTINE_PERIOD)
            actions.append(SendPeer(peer, message))
        return actions

    def merge(self, message: FingerprintBlocked, now: float) -> None:
        """Take in another node's word."""
        until = now + min(message.remaining, QUARANTINE_PERIOD)
        known = self._blocked_until.get(message.fingerprint, 0.0)
        self._blocked_until[message.fingerprint] = max(known, until)
