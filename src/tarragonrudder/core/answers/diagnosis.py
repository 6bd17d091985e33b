"""Probes the stages of a stalled chain to find those that do not respond."""

from dataclasses import dataclass, field

from tarragonrudder.core.domain.action import Action, ProbeUpstream
from tarragonrudder.core.domain.chain import Chain, Hop
from tarragonrudder.core.domain.event import UpstreamProbed

PROBE_TIMEOUT = 0.5  # seconds
PROBE_MAX_AGE = 0.3  # seconds for which a probe's result is reused


@dataclass(frozen=True, slots=True)
class DiagnosisResult:
    """Result for one answer; `dead` holds the stages that did not respond."""

    request: str
    dead: frozenset[str]


@dataclass(slots=True)
class _PendingDiagnosis:
    waiting: set[str]
    dead: set[str] = field(default_factory=set)


class Diagnosis:
    """Probes shared by all stalled answers of this node."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingDiagnosis] = {}
        self._probing: dict[str, float] = {}
        self._results: dict[str, tuple[float, bool]] = {}

    def begin(
        self, request: str, chain: Chain, now: float
    ) -> tuple[list[Action], DiagnosisResult | None]:
        """Probe all stages of a chain; recent results may complete it at once."""
        pending = _PendingDiagnosis(set())
        actions: list[Action] = []
        for hop in chain.hops:
            probed_at, answered = self._results.get(hop.upstream, (0.0, True))
            if hop.upstream in self._results and now - probed_at < PROBE_MAX_AGE:
                if not answered:
                    pending.dead.add(hop.upstream)
                continue
            pending.waiting.add(hop.upstream)
            actions.extend(self.probe(hop, now))
        if not pending.waiting:
            return [], DiagnosisResult(request, frozenset(pending.dead))
        self._pending[request] = pending
        return actions, None

    def probe(self, hop: Hop, now: float) -> list[Action]:
        """Probe one stage unless a probe is already running."""
        started = self._probing.get(hop.upstream)
        if started is not None and now - started < PROBE_TIMEOUT:
            return []
        self._probing[hop.upstream] = now
        return [ProbeUpstream(hop.upstream, hop.address, PROBE_TIMEOUT)]

    def handle_probe(self, event: UpstreamProbed, now: float) -> list[DiagnosisResult]:
        """Record a probe's result; return the diagnoses that it completes."""
        self._probing.pop(event.upstream, None)
        self._results[event.upstream] = (now, event.answered)
        results = []
        for request, pending in list(self._pending.items()):
            if event.upstream not in pending.waiting:
                continue
            pending.waiting.discard(event.upstream)
            if not event.answered:
                pending.dead.add(event.upstream)
            if pending.waiting:
                continue
            del self._pending[request]
            results.append(DiagnosisResult(request, frozenset(pending.dead)))
        return results

    def expire(self, request: str) -> DiagnosisResult | None:
        """Complete a diagnosis whose probes are overdue: their stages are dead."""
        pending = self._pending.pop(request, None)
        if pending is None:
            return None
        return DiagnosisResult(request, frozenset(pending.dead | pending.waiting))

    def forget(self, request: str) -> None:
        """Drop an answer's pending diagnosis."""
        self._pending.pop(request, None)

    def tick(self, now: float) -> None:
        """Drop expired results."""
        for upstream, (probed_at, _) in list(self._results.items()):
            if now - probed_at >= PROBE_MAX_AGE:
                del self._results[upstream]
