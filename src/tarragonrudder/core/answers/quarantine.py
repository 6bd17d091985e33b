"""Quarantine of requests that crash the upstreams that run them.

All requests that ran on a crashed upstream become suspects, which are retried on
separate upstreams. A suspect that is the only one on a second crashed upstream,
and had not got past the token of the first crash, is blocked.
"""

from dataclasses import dataclass, field

from tarragonrudder.core.domain.action import Action, LogDecision, SetTimer
from tarragonrudder.core.domain.event import UpstreamProbed
from tarragonrudder.core.domain.message import (
    CrashDenied,
    CrashNoted,
    FingerprintBlocked,
    SuspectPlaced,
)
from tarragonrudder.core.membership.gossip import Gossip

QUARANTINE_PERIOD = 300.0  # seconds for which a blocked fingerprint is refused
SUSPECT_PERIOD = 60.0  # seconds after the last crash until suspicion expires
PLACED_PERIOD = 20.0  # seconds for which a suspect's placement is valid
GOSSIP_DELAY = 0.3  # seconds for peers' reports of the same crash to arrive
MAX_DENIALS = 2  # consecutive crashes of a request that probes may retract
DENIAL_PERIOD = 0.6  # seconds after a crash in which no engine can be back
INFRASTRUCTURE_CRASHES = 5  # other crashed upstreams that suggest a shared cause
INFRASTRUCTURE_PERIOD = 2.0  # seconds within which these upstreams crash
EXPLAINED_PERIOD = 2.0  # seconds around a block or denial that explains a crash
MIN_DELAY = 0.01  # seconds between checks of a suspect that is due
CLEARING_TOKENS = 3  # tokens on a new chain that clear a suspect
CRASHES_TO_BLOCK = 2
MAX_SUSPECTS = 4096
MAX_BLOCKED = 4096
KEY_LENGTH = 32  # hexadecimal digits of a fingerprint that are compared
QUARANTINE_TIMER = "quarantine:"  # prefix of the suspect's key


@dataclass(slots=True)
class _Suspect:
    """A fingerprint that may have crashed upstreams.

    Attributes
    ----------
    crashes : dict of str to float
        Time of the crash of each upstream that ran the request.
    strong : set of str
        Upstreams that crashed before a token arrived. On a retry one token may
        have arrived, as the previous crash can lose a token in transit.
    placed : frozenset of str
        Upstreams on which the request is retried.
    resolve_at : float or None
        Time at which it is decided whether to block the request.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    strong: set[str] = field(default_factory=set)
    placed: frozenset[str] = frozenset()
    placed_at: float = 0.0
    resolve_at: float | None = None
    new_chain_required: bool = False


class Quarantine:
    """Suspected and blocked fingerprints, from local crashes and peers' reports."""

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip
        self._suspects: dict[str, _Suspect] = {}
        self._blocked_since: dict[str, float] = {}
        self._newly_blocked: list[str] = []
        # A relayed report of an older crash must not renew a cleared suspicion.
        self._cleared_at: dict[str, float] = {}
        self._explained_at: dict[str, float] = {}
        self._crashed_at: dict[str, float] = {}
        self._denials: dict[str, int] = {}

    def get_remaining_block(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a fingerprint is still blocked, else 0."""
        since = self._blocked_since.get(fingerprint[:KEY_LENGTH])
        if since is None:
            return 0.0
        return max(0.0, since + QUARANTINE_PERIOD - now)

    def get_start_delay(self, fingerprint: str, now: float) -> float:
        """Return the seconds to wait before a fingerprint may be started."""
        suspect = self._suspects.get(fingerprint[:KEY_LENGTH])
        if suspect is None:
            return 0.0
        if suspect.resolve_at is not None:
            return max(MIN_DELAY, suspect.resolve_at - now)
        if not suspect.strong:
            return 0.0
        return max(0.0, max(suspect.crashes.values()) + GOSSIP_DELAY - now)

    def find_occupied(self, fingerprint: str, now: float) -> frozenset[str]:
        """Return the upstreams of other suspects, which a suspect should avoid."""
        key = fingerprint[:KEY_LENGTH]
        if key not in self._suspects:
            return frozenset()
        occupied: set[str] = set()
        for other, suspect in self._suspects.items():
            if other != key and suspect.placed_at + PLACED_PERIOD > now:
                occupied |= suspect.placed
        return frozenset(occupied)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a fingerprint must run apart from other suspects."""
        return fingerprint[:KEY_LENGTH] in self._suspects

    def is_infrastructure_failure(self, now: float) -> bool:
        """Whether too many upstreams crash for a single request to be the cause."""
        return self._count_unexplained(now) >= INFRASTRUCTURE_CRASHES

    def requires_new_chain(self, fingerprint: str) -> bool:
        """Whether a suspect must give up the stages of its previous chain."""
        suspect = self._suspects.get(fingerprint[:KEY_LENGTH])
        return suspect is not None and suspect.new_chain_required

    def record_placement(
        self, fingerprint: str, upstreams: frozenset[str], now: float
    ) -> list[Action]:
        """Record the upstreams on which a suspect is retried."""
        key = fingerprint[:KEY_LENGTH]
        suspect = self._suspects.get(key)
        if suspect is None:
            return []
        suspect.placed = upstreams
        suspect.placed_at = now
        fact = SuspectPlaced(key, tuple(sorted(upstreams)), 0.0)
        return self._gossip.spread(f"placed:{key}", fact, now)

    def clear(self, fingerprint: str, now: float) -> None:
        """Clear a suspect that made progress without a crash."""
        key = fingerprint[:KEY_LENGTH]
        self._denials.pop(key, None)
        if self._suspects.pop(key, None) is not None:
            self._cleared_at[key] = now

    def record_crash(
        self, fingerprint: str, upstream: str, strong: bool, now: float
    ) -> list[Action]:
        """Count a crash of an upstream that ran this fingerprint."""
        key = fingerprint[:KEY_LENGTH]
        return self._merge_crash(CrashNoted(key, upstream, strong, 0.0), now)

    def merge(
        self,
        fact: CrashNoted | SuspectPlaced | FingerprintBlocked | CrashDenied,
        now: float,
    ) -> list[Action]:
        """Apply another node's report, and pass it on if it is new."""
        match fact:
            case CrashNoted():
                return self._merge_crash(fact, now)
            case SuspectPlaced():
                return self._merge_placed(fact, now)
            case FingerprintBlocked():
                return self._block(fact, now)
            case CrashDenied():
                return self._merge_denial(fact, now)

    def handle_probe(self, event: UpstreamProbed, now: float) -> list[Action]:
        """Retract a crash if the upstream answers right after it.

        A crashed engine has to load its weights before it answers.
        """
        crashed_at = self._crashed_at.get(event.upstream)
        if not event.answered or crashed_at is None:
            return []
        if now - crashed_at > DENIAL_PERIOD:
            return []
        return self._merge_denial(CrashDenied(event.upstream, 0.0), now)

    def handle_timer(self, now: float) -> list[Action]:
        """Decide whether to block the suspects whose gossip delay has passed."""
        due = {}
        for key, suspect in self._suspects.items():
            if suspect.resolve_at is not None and suspect.resolve_at <= now:
                due[key] = suspect
        actions: list[Action] = []
        for key in self._find_requests_to_block(due, now):
            fact = FingerprintBlocked(key, tuple(due[key].crashes), 0.0)
            actions.extend(self._block(fact, now))
        for key in due.keys() & self._suspects.keys():
            self._suspects[key].resolve_at = None
            self._suspects[key].new_chain_required = True
        return actions

    def take_blocked(self) -> list[str]:
        """Return the keys of fingerprints that were blocked since the last call."""
        blocked = self._newly_blocked
        self._newly_blocked = []
        return blocked

    def tick(self, now: float) -> None:
        """Drop expired state."""
        for key, suspect in list(self._suspects.items()):
            if max(suspect.crashes.values()) + SUSPECT_PERIOD <= now:
                del self._suspects[key]
        for key, since in list(self._blocked_since.items()):
            if since + QUARANTINE_PERIOD <= now:
                del self._blocked_since[key]
        for ended in (self._cleared_at, self._explained_at, self._crashed_at):
            for key, at in list(ended.items()):
                if at + SUSPECT_PERIOD <= now:
                    del ended[key]
        if len(self._denials) > MAX_SUSPECTS:
            self._denials.clear()

    def __len__(self) -> int:
        return len(self._suspects) + len(self._blocked_since)

    def _merge_crash(self, fact: CrashNoted, now: float) -> list[Action]:
        key = fact.fingerprint[:KEY_LENGTH]
        if key in self._blocked_since or self._is_obsolete(fact, now):
            return []
        suspect = self._suspects.get(key)
        if suspect is None:
            self._evict_oldest()
            suspect = self._suspects[key] = _Suspect()
        if fact.upstream in suspect.crashes:
            return []
        suspect.crashes[fact.upstream] = now - fact.age
        self._crashed_at[fact.upstream] = now - fact.age
        suspect.placed = frozenset()
        if fact.strong:
            suspect.strong.add(fact.upstream)
        name = f"crash:{key}:{fact.upstream}"
        actions = self._gossip.spread(name, fact, now)
        if len(suspect.crashes) >= CRASHES_TO_BLOCK:
            suspect.resolve_at = now + GOSSIP_DELAY
            actions.append(SetTimer(QUARANTINE_TIMER + key, suspect.resolve_at))
        return actions

    def _merge_placed(self, fact: SuspectPlaced, now: float) -> list[Action]:
        suspect = self._suspects.get(fact.fingerprint[:KEY_LENGTH])
        placed_at = now - fact.age
        if suspect is None or placed_at <= suspect.placed_at + GOSSIP_DELAY:
            return []
        suspect.placed = frozenset(fact.upstreams)
        suspect.placed_at = placed_at
        return self._gossip.spread(f"placed:{fact.fingerprint}", fact, now)

    def _block(self, fact: FingerprintBlocked, now: float) -> list[Action]:
        key = fact.fingerprint[:KEY_LENGTH]
        if key in self._blocked_since or fact.age >= QUARANTINE_PERIOD:
            return []
        if len(self._blocked_since) >= MAX_BLOCKED:
            del self._blocked_since[next(iter(self._blocked_since))]
        self._blocked_since[key] = now - fact.age
        self._newly_blocked.append(key)
        self._suspects.pop(key, None)
        self._remove_explained_crashes(frozenset(fact.upstreams), now - fact.age)
        fields = {"fingerprint": key, "upstreams": list(fact.upstreams)}
        actions: list[Action] = [LogDecision("fingerprint_blocked", fields)]
        actions.extend(self._gossip.spread(f"blocked:{key}", fact, now))
        return actions

    def _merge_denial(self, fact: CrashDenied, now: float) -> list[Action]:
        at = now - fact.age
        known = self._explained_at.get(fact.upstream)
        if known is not None and at - known < EXPLAINED_PERIOD:
            return []
        for key, suspect in self._suspects.items():
            if fact.upstream in suspect.strong:
                self._denials[key] = self._denials.get(key, 0) + 1
        self._crashed_at.pop(fact.upstream, None)
        self._remove_explained_crashes(frozenset([fact.upstream]), at)
        return self._gossip.spread(f"denied:{fact.upstream}", fact, now)

    def _is_obsolete(self, fact: CrashNoted, now: float) -> bool:
        """Return whether a crash is too old, cleared or explained by another cause."""
        at = now - fact.age
        explained = self._explained_at.get(fact.upstream)
        if explained is not None and abs(at - explained) < EXPLAINED_PERIOD:
            return self._denials.get(fact.fingerprint, 0) <= MAX_DENIALS
        cleared = self._cleared_at.get(fact.fingerprint, -SUSPECT_PERIOD)
        return fact.age >= SUSPECT_PERIOD or at <= cleared

    def _remove_explained_crashes(self, explained: frozenset[str], at: float) -> None:
        """Remove crashes that a blocked request or a lost connection explains."""
        for upstream in explained:
            self._explained_at[upstream] = at
        for key, suspect in list(self._suspects.items()):
            if self._denials.get(key, 0) > MAX_DENIALS:
                continue
            for upstream in explained & suspect.crashes.keys():
                del suspect.crashes[upstream]
            if not suspect.crashes:
                del self._suspects[key]
            elif len(suspect.crashes) < CRASHES_TO_BLOCK:
                suspect.resolve_at = None

    def _find_requests_to_block(
        self, due: dict[str, _Suspect], now: float
    ) -> list[str]:
        """Return the suspects whose crashes have no other explanation.

        A suspect is not blocked if tokens came before its last upstream crashed,
        if another suspect ran there as well, or if other upstreams crash too,
        as when a rack fails.
        """
        if self.is_infrastructure_failure(now):
            return []
        to_block = []
        for key, suspect in due.items():
            last = _find_last_upstream(suspect)
            if self._find_candidates(last) == [key]:
                to_block.append(key)
        return to_block

    def _find_candidates(self, upstream: str) -> list[str]:
        """Return the suspects that may have caused an upstream's crash."""
        candidates = []
        for key, suspect in self._suspects.items():
            twice = len(suspect.crashes) >= CRASHES_TO_BLOCK
            if twice and upstream in suspect.strong:
                candidates.append(key)
        if len(candidates) == 1:
            return candidates
        # Suspects whose tokens came before an earlier crash are less likely.
        likely = []
        for key in candidates:
            if self._suspects[key].strong >= self._suspects[key].crashes.keys():
                likely.append(key)
        return likely

    def _count_unexplained(self, now: float) -> int:
        """Count recent crashes that no suspect with two crashes explains."""
        recent = set()
        for upstream, at in self._crashed_at.items():
            if now - at < INFRASTRUCTURE_PERIOD:
                recent.add(upstream)
        for suspect in self._suspects.values():
            if len(suspect.crashes) >= CRASHES_TO_BLOCK:
                recent -= suspect.crashes.keys()
        return len(recent - self._explained_at.keys())

    def _evict_oldest(self) -> None:
        if len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]


def _find_last_upstream(suspect: _Suspect) -> str:
    return max(suspect.crashes, key=lambda upstream: suspect.crashes[upstream])
