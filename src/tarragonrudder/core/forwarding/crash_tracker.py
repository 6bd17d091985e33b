"""Blocking of what requests have in common when they crash upstreams."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain.forwarded_request import Trait

CRASHES_TO_BLOCK = 3  # fewer may be chance: an upstream can crash during any request
BLOCK_PERIOD = 120.0  # seconds after the latest crash for which a trait is blocked
# Seconds after the latest crash for which a record is kept. Within them one more crash
# blocks the trait again.
RECORD_PERIOD = 600.0
# Seconds within which other nodes' reports of a crash arrive, and of others at the same
# moment.
REPORT_DELAY = 0.2
MAX_TRAITS = 4096  # of each kind of record; the oldest gives way
MAX_SHARED_RECORDS = 32  # sent to a peer; bounds the message
# Seconds after the latest crash for which a record is sent to peers. Nodes that start
# later need to know only of blocked traits.
SHARE_PERIOD = 5.0
# Age in seconds of a sound run that is older than any memory; JSON has no infinity.
NEVER = 1e9


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A trait's record as peers exchange it.

    Attributes
    ----------
    sound_age : float
        Seconds since a request with the trait last ran well; `NEVER` if none did.
    crash_ages : dict of str to float
        Seconds since each upstream crashed under a request with the trait.
    """

    sound_age: float
    crash_ages: t.Mapping[str, float]


@dataclass(slots=True)
class _Record:
    crashes: dict[str, float] = field(default_factory=dict)  # time by upstream
    sound_at: float = -NEVER

    @property
    def crashed_at(self) -> float:
        return max(self.crashes.values(), default=-NEVER)

    def list_recent(self) -> frozenset[str]:
        """Return the upstreams that crashed since the last sound run."""
        return frozenset(n for n, at in self.crashes.items() if at > self.sound_at)


class CrashTracker:
    """Finds the traits whose requests crash upstreams, over all nodes.

    Load pattern: requests that share one trait come at any node, no two alike, and
    each crashes every upstream that begins to run it. Sound requests that share
    their other traits run on the same upstreams and break off with them.

    A trait is blocked after `CRASHES_TO_BLOCK` crashes of different upstreams without
    a sound run since. The trait that ran well least recently is judged first, and
    crashes that it explains don't count against the others.
    """

    def __init__(self) -> None:
        self._records: dict[Trait, _Record] = {}
        self._sound_at: dict[Trait, float] = {}  # of traits without a record too
        self._blocked: dict[Trait, float] | None = {}  # None if it must be computed

    def add_crash(self, traits: t.Iterable[Trait], upstream: str, now: float) -> None:
        """Record that an upstream crashed as it began to run a request.

        Parameters
        ----------
        upstream : str
            Name that is unique to one start of the upstream.
        """
        for trait in traits:
            record = self._find_or_add(trait)
            record.crashes.setdefault(upstream, now)
        self._blocked = None

    def remove_crash(self, traits: t.Iterable[Trait], upstream: str) -> None:
        """Forget a crash that was none: this node lost its own links."""
        for trait in traits:
            record = self._records.get(trait)
            if record is None:
                continue
            record.crashes.pop(upstream, None)
            if not record.crashes:
                del self._records[trait]
        self._blocked = None

    def add_sound_run(self, traits: t.Iterable[Trait], begun_at: float) -> None:
        """Record that a request ran well that began to be answered at a time."""
        for trait in traits:
            self._sound_at.pop(trait, None)
            _make_room(self._sound_at)
            self._sound_at[trait] = begun_at
            record = self._records.get(trait)
            if record is not None and begun_at > record.sound_at:
                record.sound_at = begun_at
                self._blocked = None

    def find_blocked(
        self, traits: t.Iterable[Trait], now: float
    ) -> tuple[Trait, float] | None:
        """Return a blocked trait and the seconds until its block ends, or None."""
        if not self._records:
            return None
        blocked = self.list_blocked()
        for trait in traits:
            remaining = blocked.get(trait, -NEVER) + BLOCK_PERIOD - now
            if remaining > 0.0:
                return trait, remaining
        return None

    def get_start_time(self, traits: t.Iterable[Trait]) -> float:
        """Return the time before which a request should not be sent.

        A request is held back shortly if a part of its prompt was there at a crash
        and has never run well, so that few upstreams crash before it is blocked.
        """
        start = -NEVER
        for trait in traits:
            record = self._records.get(trait)
            if trait.kind == "part" and record and record.sound_at <= -NEVER:
                start = max(start, record.crashed_at + REPORT_DELAY)
        return start

    def list_blocked(self) -> t.Mapping[Trait, float]:
        """Return the traits that were found to crash upstreams.

        Returns
        -------
        mapping
            The time of each one's latest crash. The block may be over.
        """
        if self._blocked is None:
            self._blocked = self._compute_blocked()
        return self._blocked

    def count_crashes(self, trait: Trait) -> int:
        """Return how many upstreams crashed since the trait's last sound run."""
        record = self._records.get(trait)
        return len(record.list_recent()) if record is not None else 0

    def expire(self, now: float) -> None:
        """Drop records without a recent crash."""
        old = [
            trait
            for trait, record in self._records.items()
            if now - record.crashed_at > RECORD_PERIOD
        ]
        for trait in old:
            del self._records[trait]
        if old:
            self._blocked = None

    def snapshot(self, now: float) -> dict[Trait, CrashReport]:
        """Return what peers should know; what is worth most comes first."""
        blocked = self.list_blocked()
        found = [
            (trait, record)
            for trait, record in self._records.items()
            if trait in blocked or now - record.crashed_at < SHARE_PERIOD
        ]
        found.sort(
            key=lambda item: (
                -len(item[1].list_recent()),
                item[0].kind == "request",
                item[1].sound_at,
                -item[1].crashed_at,
            )
        )
        reports = {}
        for trait, record in found[:MAX_SHARED_RECORDS]:
            ages = {name: now - at for name, at in record.crashes.items()}
            reports[trait] = CrashReport(min(NEVER, now - record.sound_at), ages)
        return reports

    def merge(self, reports: t.Mapping[Trait, CrashReport], now: float) -> bool:
        """Add a peer's reports; return whether they tell of unknown crashes."""
        is_new = False
        for trait, report in reports.items():
            known = self._records.get(trait)
            for upstream, age in report.crash_ages.items():
                if known is not None and upstream in known.crashes:
                    continue
                if not 0.0 <= age < RECORD_PERIOD:
                    continue
                known = self._find_or_add(trait)
                known.crashes[upstream] = now - age
                self._blocked = None
                is_new = True
            sound_at = now - max(0.0, report.sound_age)
            if known is not None and sound_at > known.sound_at:
                known.sound_at = sound_at
                self._blocked = None
        return is_new

    def _find_or_add(self, trait: Trait) -> _Record:
        record = self._records.get(trait)
        if record is None:
            _make_room(self._records)
            record = _Record(sound_at=self._sound_at.get(trait, -NEVER))
            self._records[trait] = record
        return record

    def _compute_blocked(self) -> dict[Trait, float]:
        candidates = []
        for trait, record in self._records.items():
            recent = record.list_recent()
            if len(recent) >= CRASHES_TO_BLOCK:
                candidates.append((trait, record, recent))
        # Of traits that crash alike, a whole request is narrower than a part.
        candidates.sort(
            key=lambda each: (each[1].sound_at, -len(each[2]), each[0].kind == "part")
        )
        blocked: dict[Trait, float] = {}
        explained: frozenset[str] = frozenset()
        for trait, record, recent in candidates:
            if len(recent - explained) < CRASHES_TO_BLOCK:
                continue
            blocked[trait] = record.crashed_at
            explained |= recent
        return blocked


def _make_room(records: dict[Trait, t.Any]) -> None:
    if len(records) >= MAX_TRAITS:
        del records[next(iter(records))]
