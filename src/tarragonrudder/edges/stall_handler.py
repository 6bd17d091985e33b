"""Recovers stalled streams by a detour around stages or by a retry."""

import trio

from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.stall_response import (
    Detour,
    KeepWaiting,
    Retry,
    choose_stall_response,
)
from tarragonrudder.edges.job import Job, Sender
from tarragonrudder.edges.path_load import PathLoad
from tarragonrudder.edges.relay_interfaces import Handover
from tarragonrudder.edges.stall_prober import StallProber

# Seconds without an event below which a culprit on the path is ignored: the stream's
# events still pass it.
MIN_SILENCE_WITH_CULPRIT = 0.06
# Share of the stall timeout below which a stream isn't taken as stalled: it was
# woken up for another reason.
MIN_SILENCE_SHARE = 0.5
MAX_DETOUR_ATTEMPTS = 3  # the chosen stages may prove lost or full
# Seconds that an event may take from a stage to the node: some hops of half a
# millisecond, with the prefill of a prompt in between.
EVENT_TRANSIT_TIME = 0.03


class StallHandler:
    """Handles the stalls of one attempt of a stream.

    Attributes
    ----------
    last_progress_at : float
        When the attempt started, last received data or was moved by a detour.
    """

    def __init__(
        self, job: Job, path_load: PathLoad, sender: Sender, stall_prober: StallProber
    ) -> None:
        self._job = job
        self._path_load = path_load
        self._sender = sender
        self._state = sender.state
        self._stall_prober = stall_prober
        self._replaced: frozenset[str] = frozenset()
        self.last_progress_at = trio.current_time()

    async def handle_stall(
        self, stall_timeout: float, may_replace: bool, report: Handover | None = None
    ) -> bool:
        """Handle a silent attempt; return whether to look for a replacement.

        A request that another node passed on is replaced by that node, beside the
        attempt here, which stays open.

        Parameters
        ----------
        may_replace : bool
            False if none was found a moment ago.
        report : Handover or None
            What another node says of the attempt, if it is there.
        """
        job, path = self._job, self._path_load.path
        now = trio.current_time()
        silence = now - self.last_progress_at
        await self._replace_leaving(path, silence)
        path = self._path_load.path
        # Another stream's event that passed a stage just before it failed arrives up
        # to EVENT_TRANSIT_TIME later and is no sign of life.
        since = now - min(stall_timeout, silence) + EVENT_TRANSIT_TIME
        silent = self._state.upstream_table.find_silent(path.names, since)
        culprits = self._state.find_culprits(path.names, now)
        if report is not None and self._state.find_culprits(report.sent_to, now):
            culprits = frozenset(path.names)  # that node stands for its upstream
        if silence < (
            MIN_SILENCE_WITH_CULPRIT if culprits else MIN_SILENCE_SHARE * stall_timeout
        ):
            return False
        may_retry = may_replace and (job.may_repeat or job.sender_may_repeat)
        response = choose_stall_response(
            path.names, silent, culprits, silence / stall_timeout, may_retry
        )
        match response:
            case KeepWaiting(ask=ask):
                if ask:
                    self._stall_prober.probe(path, now)
                return False
            case Detour(replaced=around):
                self._stall_prober.probe(path, now)
                may_cross = bool(culprits) and not may_retry
                if await self._detour(path, around, silence, may_cross):
                    return False
                if not may_retry or not culprits:
                    return False
                job.avoided.update(around)
            case Retry(excluded=excluded):
                job.avoided.update(excluded)
                job.fresh = True
                if not culprits:
                    self._state.suspect_silent(excluded, now)
                    self._note_silent_connection(path, excluded, now)
        self._sender.log(
            "stalled",
            job.request.request_id,
            silent=list(silent),
            blamed=sorted(culprits),
            of=len(path.hops),
            silence=round(silence, 3),
        )
        return job.has_sends_left

    def _note_silent_connection(
        self, path: Path, silent: frozenset[str], now: float
    ) -> None:
        """Record a silence that may be of this node's own links."""
        first = path.names[0]
        is_upstream = self._state.upstream_table.find(first) is not None
        if is_upstream and (first in silent or not silent):
            self._state.reachability.note_failure(first, now)

    async def _replace_leaving(self, path: Path, silence: float) -> None:
        """Replace stages that are about to exit, while they still serve."""
        leaving = self._state.find_draining(path.names) - self._replaced
        if not leaving or path.names[0] in leaving:
            return
        self._replaced |= leaving  # tried once: they may last as long as the stream
        await self._detour(path, leaving, silence, may_cross=False)

    async def _detour(
        self, path: Path, around: frozenset[str], silence: float, may_cross: bool
    ) -> bool:
        """Move the attempt to a path around some stages; return whether it moved."""
        job = self._job
        upstream = self._state.upstream_table.find(path.hops[0].upstream)
        avoided = set(job.avoided)
        for _ in range(MAX_DETOUR_ATTEMPTS):
            now = trio.current_time()
            found = self._state.find_detour(
                job.request, path, around, frozenset(avoided), may_cross, now
            )
            if found is None or upstream is None:
                return False
            if self._state.upstream_gate.is_resting(upstream.name, now):
                return False
            added = [name for name in found.names if name not in path.names]
            self._state.upstream_gate.take((upstream.name, *added), now)
            outcome = await self._sender.upstreams.request_detour(
                upstream, job.request.request_id, found.hops
            )
            absent = None
            if outcome.absent is not None:
                absent = self._state.upstream_table.find_by_address(outcome.absent)
            self._sender.log(
                "detour",
                job.request.request_id,
                around=sorted(around),
                path=found.describe(),
                done=outcome.done,
                absent=absent.name if absent is not None else None,
                silence=round(silence, 3),
            )
            if outcome.done:
                self._path_load.switch_to(found)
                # The new stages prefill all tokens before the next event.
                self.last_progress_at = trio.current_time()
                return True
            if absent is None:
                return False
            avoided.add(absent.name)
            if absent.name in path.names:
                around |= {absent.name}
        return False
