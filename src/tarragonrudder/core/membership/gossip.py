"""Gossip of short-lived facts to all nodes, with bounded traffic.

Each node that learns a fact relays it to a few random peers in a few rounds, so
that the time to reach all nodes grows with the logarithm of their number and no
single lost message matters (Demers et al., "Epidemic algorithms for replicated
database maintenance", PODC 1987).
"""

import random
import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.action import Action, SendPeerMessage, SetTimer
from tarragonrudder.core.domain.message import (
    Fact,
    Facts,
    FingerprintBlocked,
    UpstreamLeaving,
)

FANOUT = 3  # peers per round
ROUNDS = 5  # rounds in which a node relays a fact
ROUND_PERIOD = 0.1  # seconds
BYTES_PER_SECOND = 1500.0  # long-term average limit of what a node sends
BURST_BYTES = 64_000.0  # sent at once at most, after a quiet time
MESSAGE_OVERHEAD = 350  # bytes of a message without its facts
FACT_BYTES = 130  # bytes of a fact
MAX_FACTS = 100  # per message
MAX_PENDING = 2000  # facts still to be relayed
TIMER = "gossip"


@dataclass(slots=True)
class _Entry:
    fact: Fact
    learned_at: float
    rounds: int = 0


class Gossip:
    """Relays facts to peers until each fact has had its rounds."""

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._peers: tuple[str, ...] = ()
        self._entries: dict[str, _Entry] = {}
        self._allowance = BURST_BYTES
        self._updated_at = 0.0
        self._scheduled = False

    def set_peers(self, peers: tuple[str, ...]) -> None:
        """Replace the names of the other live nodes."""
        self._peers = peers

    def spread(self, key: str, fact: Fact, now: float) -> list[Action]:
        """Start to relay a fact; it replaces an earlier one with the same key."""
        if key not in self._entries and len(self._entries) >= MAX_PENDING:
            return []
        self._entries[key] = _Entry(fact, now)
        if self._scheduled:
            return []
        self._scheduled = True
        return [SetTimer(TIMER, now)]

    def handle_timer(self, now: float) -> list[Action]:
        """Run one round when the timer fires."""
        self._scheduled = False
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        allowance = self._allowance + elapsed * BYTES_PER_SECOND
        self._allowance = min(BURST_BYTES, allowance)
        actions: list[Action] = []
        chosen = self._choose_entries()
        if chosen and self._peers:
            actions.extend(self._send(chosen, now))
        for key in [k for k, e in self._entries.items() if e.rounds >= ROUNDS]:
            del self._entries[key]
        if self._entries:
            self._scheduled = True
            actions.append(SetTimer(TIMER, now + ROUND_PERIOD))
        return actions

    def _choose_entries(self) -> list[_Entry]:
        entries = sorted(self._entries.values(), key=_get_relay_order)
        return entries[:MAX_FACTS]

    def _send(self, entries: list[_Entry], now: float) -> list[Action]:
        count = min(FANOUT, len(self._peers))
        budget = self._allowance / count - MESSAGE_OVERHEAD
        entries = entries[: max(0, int(budget // FACT_BYTES))]
        if not entries:
            return []
        facts = []
        for entry in entries:
            entry.rounds += 1
            age = entry.fact.age + now - entry.learned_at
            facts.append(replace(entry.fact, age=age))
        self._allowance -= count * (MESSAGE_OVERHEAD + FACT_BYTES * len(facts))
        message = Facts(tuple(facts))
        peers = self._random.sample(self._peers, count)
        return [SendPeerMessage(peer, message) for peer in peers]


def _get_relay_order(entry: _Entry) -> tuple[t.Any, ...]:
    urgent = isinstance(entry.fact, FingerprintBlocked | UpstreamLeaving)
    return (not urgent, entry.rounds, entry.learned_at)
