"""Forwards requests to models, whose answers are streams of numbered events."""

import enum
import typing as t

import trio

from tarragonrudder.core.domain.forwarded_request import (
    Accepted,
    InvalidResponse,
    Rejected,
)
from tarragonrudder.core.forwarding.event_gaps import EventGaps
from tarragonrudder.core.forwarding.event_sequence import EventSequence, SequenceError
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.state import Wait
from tarragonrudder.edges.connection import BrokenConnection
from tarragonrudder.edges.job import AnswerTooLarge, Job, Sender, read_whole
from tarragonrudder.edges.path_load import PathLoad
from tarragonrudder.edges.relay_interfaces import Attempt, Dispatch, Reply
from tarragonrudder.edges.stall_handler import StallHandler
from tarragonrudder.edges.stall_prober import StallProber
from tarragonrudder.errors import Problem, RunState, UpstreamFailed

EVENTS_PER_OBSERVATION = 4  # events averaged to one observed gap


class _StepOutcome(enum.Enum):
    """The result of handling what an upstream sent."""

    CONTINUING = enum.auto()
    COMPLETED = enum.auto()
    ABANDONED = enum.auto()


class Streams:
    """Serves streams, each by one or more attempts."""

    def __init__(self, sender: Sender, stall_prober: StallProber) -> None:
        self._sender = sender
        self._stall_prober = stall_prober

    async def serve(self, job: Job, reply: Reply) -> Problem | None:
        """Answer a request; return the problem if it can't be answered."""
        stream = _Stream(job, reply, self._sender, self._stall_prober)
        while True:
            path = await stream.find_path()
            if isinstance(path, Problem):
                return path
            if not self._sender.may_send(job):
                return self._sender.state.refuse_retry()
            if await stream.run(path):
                return None
            if job.may_have_run and not job.route.idempotent:
                return UpstreamFailed("the stream broke off", RunState.UNKNOWN)


class _Stream:
    """One caller's stream."""

    def __init__(
        self, job: Job, reply: Reply, sender: Sender, stall_prober: StallProber
    ) -> None:
        self._job = job
        self._reply = reply
        self._sender = sender
        self._state = sender.state
        self._stall_prober = stall_prober
        # Estimated once, so that start and finish count the same load even if the
        # configuration changes in between.
        demand = self._state.estimate_demand(job.request, job.service)
        tokens = demand.prompt_tokens + demand.answer_tokens
        self._path_load = PathLoad(self._state.usage_tracker, tokens)
        self._stall_handler = StallHandler(job, self._path_load, sender, stall_prober)
        self._events = EventSequence(job.request.last_event)
        self._event_gaps = EventGaps(
            job.route.first_byte_target, job.route.event_gap_target
        )
        self._response: Accepted | None = None
        self._gap_sample: tuple[int, float] = (0, 0.0)
        self._wait_scope = trio.CancelScope()
        self._woken = False

    async def find_path(self) -> Path | Problem:
        """Return the path of the next attempt; wait for one while that may help."""
        job = self._job
        since = trio.current_time()
        while True:
            found = self._state.find_path(
                job.request,
                job.route,
                job.service,
                frozenset(job.avoided),
                frozenset(job.first_upstreams),
                job.may_have_run,
                since,
                trio.current_time(),
            )
            if not isinstance(found, Wait):
                return found
            await trio.sleep_until(min(found.until, job.deadline))

    @property
    def stages(self) -> t.Container[str]:
        """Upstreams that the running attempt depends on."""
        return self._path_load.names

    def wake(self) -> None:
        """Interrupt the wait for an event, to check the path's stages."""
        self._woken = True
        self._wait_scope.cancel()

    async def run(self, path: Path) -> bool:
        """Run one attempt; return whether the caller was answered."""
        job = self._job
        upstream = self._state.upstream_table.find(path.hops[0].upstream)
        if upstream is None:
            return False
        dispatch = Dispatch(
            job.request,
            upstream,
            path.hops,
            job.account_name,
            job.deadline - trio.current_time(),
            last_event=self._events.last,
            fresh=job.fresh,
        )
        self._path_load.switch_to(path)
        try:
            attempt = await self._sender.open(job, dispatch)
            if attempt is None:
                return False
            self._sender.log(
                "placed",
                job.request.request_id,
                path=path.describe(),
                cost=round(path.cost, 3),
                send=job.sends,
                last=self._events.last,
                version=self._state.version,
            )
            self._stall_prober.add_listener(self)
            return await self._forward_events(attempt)
        finally:
            self._stall_prober.remove_listener(self)
            self._path_load.release()

    async def _forward_events(self, attempt: Attempt) -> bool:
        """Forward an attempt's events; return whether it completed the answer."""
        job = self._job
        self._events.begin_attempt()
        self._response = None
        self._gap_sample = (0, 0.0)
        self._stall_handler.last_progress_at = wait_started_at = trio.current_time()
        forwarded_before = self._events.forwarded
        ran_before = job.may_have_run
        job.may_have_run = True
        try:
            await attempt.send()
            while True:
                begun = self._events.forwarded > forwarded_before
                stall_timeout = self._event_gaps.compute_stall_timeout(begun)
                received: Accepted | Rejected | bytes | None = None
                self._wait_scope = trio.CancelScope(
                    deadline=wait_started_at + stall_timeout
                )
                if not self._woken:  # possibly while the last event was forwarded
                    with self._wait_scope:
                        received = await self._receive(attempt)
                wait_started_at = trio.current_time()
                if received is None:
                    self._woken = False
                    if await self._stall_handler.handle_stall(stall_timeout):
                        return False
                    continue
                self._stall_handler.last_progress_at = wait_started_at
                outcome = await self._handle_received(attempt, received, ran_before)
                if outcome is not _StepOutcome.CONTINUING:
                    return outcome is _StepOutcome.COMPLETED
        except (BrokenConnection, SequenceError, AnswerTooLarge) as error:
            self._handle_broken(str(error))
            return False
        finally:
            attempt.abort()

    def _handle_broken(self, reason: str) -> None:
        """Record that the attempt broke off, and the culprits, if they are known."""
        job, names = self._job, self._path_load.names
        culprits = self._state.find_culprits(names, trio.current_time())
        job.avoided.update(culprits)
        if culprits:
            # An engine cuts streams that waited too long for a dead stage, so the
            # first stage isn't the culprit.
            culprit_names = ", ".join(sorted(culprits))
            self._sender.log(
                "broken", job.request.request_id, upstream=culprit_names, reason=reason
            )
        else:
            self._sender.handle_broken(job, names[0], reason)

    async def _receive(self, attempt: Attempt) -> Accepted | Rejected | bytes:
        """Return the head of an answer, then its body in parts; empty at the end."""
        if self._response is None:
            response = await attempt.read_response()
            if isinstance(response, InvalidResponse):
                raise BrokenConnection(response.detail)
            return response
        return await attempt.read_body() or b""

    async def _handle_received(
        self,
        attempt: Attempt,
        received: Accepted | Rejected | bytes,
        ran_before: bool,
    ) -> _StepOutcome:
        """Forward what was received.

        Runs outside the wait scope: a write that is cut off would corrupt the answer.
        """
        match received:
            case Rejected():
                self._job.may_have_run = ran_before
                self._handle_rejection(received)
                return _StepOutcome.ABANDONED
            case Accepted(success=True):
                self._response = received
                return _StepOutcome.CONTINUING
            case Accepted():
                return await self._forward_failure(attempt, received)
            case data:
                return await self._handle_body(attempt, data)

    async def _handle_body(self, attempt: Attempt, data: bytes) -> _StepOutcome:
        response = self._response
        if response is None:
            raise RuntimeError("events came before the head of their answer")
        if not data:
            if not self._events.is_between_events:
                raise BrokenConnection("the stream ended within an event")
            attempt.finish()
            await self._finish(response)
            return _StepOutcome.COMPLETED
        events = self._events.feed(data)
        if not events:
            return _StepOutcome.CONTINUING
        now = trio.current_time()
        path = self._path_load.path
        self._event_gaps.add(now)
        self._state.upstream_table.note_progress(path.names, now)
        self._observe_gap(path, now)
        self._path_load.finish_prefill()
        if not self._reply.begun:
            await self._reply.start(response.status, response.headers)
        await self._reply.send(events)
        return _StepOutcome.CONTINUING

    def _observe_gap(self, path: Path, now: float) -> None:
        count, since = self._gap_sample
        if since == 0.0:
            self._gap_sample = (0, now)
        elif count + 1 < EVENTS_PER_OBSERVATION:
            self._gap_sample = (count + 1, since)
        else:
            self._gap_sample = (0, now)
            self._state.observe_gap(path, (now - since) / (count + 1))

    async def _forward_failure(
        self, attempt: Attempt, response: Accepted
    ) -> _StepOutcome:
        body = await read_whole(attempt)
        attempt.finish()
        if self._reply.begun:
            raise BrokenConnection("an error status in the middle of a stream")
        await self._reply.send_whole(response.status, response.headers, body)
        self._sender.log_end(self._job, response.status)
        return _StepOutcome.COMPLETED

    async def _finish(self, response: Accepted) -> None:
        if not self._reply.begun:
            await self._reply.start(response.status, response.headers)
        await self._reply.end()
        self._state.note_answer(self._job.request.fingerprint)
        first = max(0.0, self._event_gaps.first_at - self._job.request.arrived)
        self._sender.log_end(
            self._job,
            response.status,
            events=self._events.forwarded,
            first=round(first, 3),
            worst_gap=round(self._event_gaps.max_gap, 3),
        )

    def _handle_rejection(self, response: Rejected) -> None:
        now = trio.current_time()
        path = self._path_load.path
        culprit = self._state.note_path_rejection(path, response, now)
        self._job.avoided.add(culprit)
        is_culprit = bool(self._state.find_culprits((culprit,), now))
        self._sender.log(
            "rejected",
            self._job.request.request_id,
            upstream=culprit,
            blamed=is_culprit,
        )
        if is_culprit:
            self._stall_prober.notify_streams(culprit)
