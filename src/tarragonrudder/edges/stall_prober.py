"""Probes stalled paths for the stage that holds them up."""

import typing as t

import trio

from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.job import Sender

# An engine's report lags by some hundred milliseconds, so the first one may not
# show the stall yet.
MAX_PROBES = 3
PROBE_PERIOD = 0.15  # seconds between probes of one stall
MIN_PROBE_INTERVAL = 0.4  # seconds between stalls probed at one engine


class ProbeListener(t.Protocol):
    """A stream that waits for an upstream's next event."""

    @property
    def stages(self) -> t.Container[str]:
        """Upstreams that the stream depends on."""

    def wake(self) -> None:
        """Check the state of those upstreams now."""


class StallProber:
    """Asks the first stage of a stalled path which stage it waits for.

    Load pattern: one dead stage stalls tens of streams at once, on all nodes; a
    single report tells which of their common stages it is. Each first stage is
    therefore probed at most once every `MIN_PROBE_INTERVAL`.
    """

    def __init__(self, sender: Sender) -> None:
        self._sender = sender
        self._tasks: BackgroundTasks | None = None
        self._probed_at: dict[str, float] = {}
        self._listeners: set[ProbeListener] = set()

    def add_listener(self, listener: "ProbeListener") -> None:
        """Wake a stream when one of its stages is marked as culprit or is leaving."""
        self._listeners.add(listener)

    def remove_listener(self, listener: "ProbeListener") -> None:
        """No longer wake a stream."""
        self._listeners.discard(listener)

    def notify_streams(self, upstream: str) -> None:
        """Wake all streams whose path includes an upstream."""
        for listener in list(self._listeners):
            if upstream in listener.stages:
                listener.wake()

    def notify_all(self) -> None:
        """Wake all streams."""
        for listener in list(self._listeners):
            listener.wake()

    def start(self, tasks: BackgroundTasks) -> None:
        """Run probes as tasks that outlive the requests."""
        self._tasks = tasks

    def probe(self, path: Path, now: float) -> None:
        """Start a probe of a path's first stage, unless one began just now."""
        first = path.hops[0].upstream
        probed_at = self._probed_at.get(first, -MIN_PROBE_INTERVAL)
        if self._tasks is None or now - probed_at < MIN_PROBE_INTERVAL:
            return
        self._probed_at[first] = now
        self._tasks.start_soon(self._probe, first, path.names)

    async def _probe(self, first: str, names: tuple[str, ...]) -> None:
        state = self._sender.state
        for _ in range(MAX_PROBES):
            upstream = state.upstream_table.find(first)
            if upstream is None:
                return
            probed_at = trio.current_time()
            if not state.upstream_gate.has_room(first, probed_at):
                return
            state.upstream_gate.take((first,), probed_at)
            report = await self._sender.upstreams.fetch_report(upstream)
            if report is None:
                # Reports may be late under load: events that passed since are proof
                # that the engine is alive.
                if state.upstream_table.find_silent((first,), probed_at):
                    state.reachability.note_failure(first, trio.current_time())
                    self._mark_culprit(first, names, "no report")
                return
            for address in report.stalled:
                culprit = state.upstream_table.find_by_address(address)
                if culprit is not None:
                    self._mark_culprit(culprit.name, names, "stalled")
                    return
            await trio.sleep(PROBE_PERIOD)

    def _mark_culprit(self, culprit: str, names: tuple[str, ...], reason: str) -> None:
        self._sender.log("suspected", None, upstream=culprit, reason=reason)
        self._sender.state.mark_culprit(culprit, names, trio.current_time())
        self.notify_streams(culprit)
