"""Estimate of each engine's load, from own work and delayed reports."""

from collections import deque
from dataclasses import dataclass, field

from tarragonrudder.core.domain.event import LoadReported

HISTORY_PERIOD = 5.0  # seconds for which own starts and ends are remembered
MAX_HISTORY = 256  # starts and ends remembered for each engine
REPORT_HALF_LIFE = 2.0  # seconds in which a report loses half of its weight
AVERAGE_SMOOTHING = 0.1  # weight of the newest report in an engine's average load


@dataclass(slots=True)
class _EngineLoad:
    running: int = 0
    layers: int = 0
    changes: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY)
    )
    measured_at: float = -1.0
    others: float = 0.0
    average_others: float = 0.0


class LoadEstimator:
    """Counts own answers in flight on each engine and estimates other nodes'.

    Links are counted like engines, under their keys.
    """

    def __init__(self) -> None:
        self._states: dict[str, _EngineLoad] = {}

    def start(self, engine: str, layers: int, now: float) -> None:
        """Count an answer that starts on an engine."""
        state = self._states.setdefault(engine, _EngineLoad())
        state.running += 1
        state.layers += layers
        state.changes.append((now, 1))

    def finish(self, engine: str, layers: int, now: float) -> None:
        """Count an answer that ended on an engine."""
        state = self._states.get(engine)
        if state is None or not state.running:
            # The engine had another name in the configuration at the start.
            return
        state.running -= 1
        state.layers = max(0, state.layers - layers)
        state.changes.append((now, -1))

    def handle_report(self, event: LoadReported, now: float) -> None:
        """Update the estimate of other nodes' answers from a load report.

        What this node itself ran when the load was measured is subtracted.
        """
        state = self._states.setdefault(event.upstream, _EngineLoad())
        measured_at = now - event.age
        if measured_at < state.measured_at:
            return
        state.measured_at = measured_at
        own = self._count_own_at(state, measured_at, now)
        state.others = max(0.0, float(event.running + event.queued - own))
        state.average_others += AVERAGE_SMOOTHING * (
            state.others - state.average_others
        )

    def count_own(self, engine: str) -> int:
        """Return the node's own answers on an engine."""
        state = self._states.get(engine)
        return state.running if state is not None else 0

    def count_own_layers(self, engine: str) -> int:
        """Return the sum of layers that the node's own answers run on an engine."""
        state = self._states.get(engine)
        return state.layers if state is not None else 0

    def estimate_others(self, engine: str, now: float) -> float:
        """Return the estimated number of other nodes' answers on an engine.

        As the last report ages, the estimate decays to the engine's average.
        """
        state = self._states.get(engine)
        if state is None or state.measured_at < 0.0:
            return 0.0
        weight = 0.5 ** ((now - state.measured_at) / REPORT_HALF_LIFE)
        return weight * state.others + (1.0 - weight) * state.average_others

    def _count_own_at(self, state: _EngineLoad, when: float, now: float) -> int:
        while state.changes and state.changes[0][0] < now - HISTORY_PERIOD:
            state.changes.popleft()
        own = state.running
        for at, change in reversed(state.changes):
            if at <= when:
                break
            own -= change
        return own
