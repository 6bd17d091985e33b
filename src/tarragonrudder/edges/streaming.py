"""Forwards requests to models, whose answers are streams of numbered events."""

import math
import typing as t
from dataclasses import dataclass

import trio

from tarragonrudder.core.domain.forwarded_request import Accepted, Rejected
from tarragonrudder.core.forwarding.event_sequence import SequenceError
from tarragonrudder.core.forwarding.path import Path
from tarragonrudder.core.forwarding.state import Wait
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.core.forwarding.wait_queue import Waiter
from tarragonrudder.edges.connection import BrokenConnection
from tarragonrudder.edges.job import AnswerTooLarge, Job, Sender
from tarragonrudder.edges.path_load import PathLoad
from tarragonrudder.edges.path_waiters import PathWaiters
from tarragonrudder.edges.relay_interfaces import Dispatch, Handover, Reply
from tarragonrudder.edges.replacement import Replacement
from tarragonrudder.edges.stall_handler import StallHandler
from tarragonrudder.edges.stall_prober import StallProber
from tarragonrudder.edges.stream_answer import StreamAnswer
from tarragonrudder.edges.stream_attempt import Broken, Received, StreamAttempt
from tarragonrudder.errors import Problem, RunState, UpstreamFailed

# Seconds after a failed search for a replacement of a silent attempt in which none is
# searched for.
REPLACE_PERIOD = 0.5

LINE_FULL_MESSAGE = "too many requests wait for a path"
DISPLACED_MESSAGE = "a request that goes before it took its place"


class Streams:
    """Serves streams, each by one or more attempts."""

    def __init__(
        self, sender: Sender, stall_prober: StallProber, path_waiters: PathWaiters
    ) -> None:
        self._sender = sender
        self._stall_prober = stall_prober
        self._path_waiters = path_waiters

    async def serve(self, job: Job, reply: Reply) -> Problem | None:
        """Answer a request; return the problem if it can't be answered."""
        answer = StreamAnswer(job, reply, self._sender)
        stream = _Stream(
            job, answer, self._sender, self._stall_prober, self._path_waiters
        )
        self._stall_prober.add_listener(stream)
        try:
            while True:
                problem = await stream.open_attempt()
                if problem is not None:
                    return None if await answer.forward_failure() else problem
                if await stream.forward():
                    return None
        finally:
            self._stall_prober.remove_listener(stream)
            stream.close()
            if job.may_have_run:
                room = self._sender.state.room
                room.note_end(job.service, trio.current_time())
            answer.close()


@dataclass(frozen=True, slots=True)
class _Opened:
    """A replacement was opened, or why there is none."""

    problem: Problem | None


@dataclass(frozen=True, slots=True)
class _Arrived:
    """A part of an attempt's answer."""

    attempt: StreamAttempt
    received: Received


class _Stream:
    """One caller's stream.

    Load pattern: a sound engine is silent for a second under tens of streams, and
    there are paths or retries for only some of them. A silent attempt stays open
    while a replacement is tried; the first of them to yield an event continues the
    answer, and the others are closed.
    """

    def __init__(
        self,
        job: Job,
        answer: StreamAnswer,
        sender: Sender,
        stall_prober: StallProber,
        path_waiters: PathWaiters,
    ) -> None:
        self._job = job
        self._sender = sender
        self._path_waiters = path_waiters
        self._state = sender.state
        self._stall_prober = stall_prober
        # Estimated once, so that start and finish count the same load even if the
        # configuration changes in between.
        self._length = self._state.estimate_length(job.request, job.service)
        self._answer = answer
        self._attempts: list[StreamAttempt] = []  # the open ones, newest last
        self._source: StreamAttempt | None = None  # yielded the latest data
        self._replacement: Replacement | None = None
        self._replace_at = 0.0
        self._wait_scope: trio.CancelScope | None = None
        self._woken = False
        self._is_counted = False

    @property
    def stages(self) -> t.Container[str]:
        """Upstreams that the open attempts depend on."""
        return {name for each in self._attempts for name in each.path_load.names}

    def wake(self) -> None:
        """Interrupt the wait for an event, to check the path's stages."""
        self._woken = True
        if self._wait_scope is not None:
            self._wait_scope.cancel()

    def close(self) -> None:
        """Close all attempts."""
        for attempt in self._attempts:
            attempt.close()
        self._attempts.clear()
        if self._is_counted and not self._job.relayed_by:
            self._is_counted = False
            job = self._job
            self._state.account_shares.finish(job.service, job.account_name)

    async def open_attempt(self) -> Problem | None:
        """Open an attempt; return the problem if there can be none."""
        job = self._job
        while True:
            if job.may_have_run and not job.route.idempotent:
                return UpstreamFailed("the stream broke off", RunState.UNKNOWN)
            if not job.has_sends_left:
                return self._state.refuse_limit(job.may_have_run)
            path = await self._find_path()
            if isinstance(path, Problem):
                return path
            if not self._sender.start_send(job, path.names):
                return self._state.refuse_retry()
            if await self._send(path):
                return None

    async def forward(self) -> bool:
        """Forward what the open attempts yield; return whether the answer ended.

        Returns
        -------
        bool
            False once all attempts were rejected or broke off.
        """
        ended, failure = False, None
        async with trio.open_nursery() as nursery:
            # Raised within the nursery, it would be wrapped in an exception group.
            try:
                ended = await self._forward(nursery)
            except Exception as error:
                failure = error
            nursery.cancel_scope.cancel()
        self._replacement = None
        if failure is not None:
            raise failure
        return ended

    async def _forward(self, nursery: trio.Nursery) -> bool:
        checked_at = trio.current_time()
        while self._attempts:
            newest = self._attempts[-1]
            stall_timeout = self._answer.compute_stall_timeout(newest)
            # Data that yields no event is no progress.
            since = max(checked_at, newest.stall_handler.last_progress_at)
            results = await self._wait(since + stall_timeout)
            if not results and self._attempts:
                self._woken = False
                checked_at = trio.current_time()
                # Events may have been passed on since.
                stall_timeout = self._answer.compute_stall_timeout(newest)
                may_replace = checked_at >= self._replace_at
                if await newest.stall_handler.handle_stall(
                    stall_timeout, may_replace, newest.report
                ):
                    self._replacement = Replacement()
                    nursery.start_soon(self._replacement.run, self.open_attempt)
            for result in results:
                match result:
                    case _Opened(problem=problem):
                        self._replacement = None
                        self._handle_opened(problem)
                    case _Arrived(attempt=attempt) if attempt not in self._attempts:
                        continue
                    case _Arrived(attempt=attempt, received=received):
                        if await self._handle_received(attempt, received):
                            return True
            if not self._attempts and self._replacement is not None:
                # The silent attempts broke off meanwhile.
                await self._replacement.wait_done()
        return False

    async def _find_path(self) -> Path | Problem:
        """Return the path of the next attempt; wait for one while that may help."""
        job = self._job
        waiter = Waiter(
            job.service,
            job.may_have_run,
            urgency=job.urgency,
            account=job.account_name,
        )
        found: Path | Problem | None = None
        try:
            found = await self._wait_for_path(waiter)
            if isinstance(found, Path):
                self._note_begun()
            return found
        finally:
            self._path_waiters.leave(waiter, isinstance(found, Path))

    def _note_begun(self) -> None:
        """Count the stream once as begun, and as running until it is closed."""
        job = self._job
        if self._is_counted:
            return
        self._is_counted = True
        now = trio.current_time()
        self._state.urgencies.note_begun(job.service, job.urgency, now)
        if not job.relayed_by:
            self._state.account_shares.start(job.service, job.account_name)

    async def _wait_for_path(self, waiter: Waiter) -> Path | Problem:
        job = self._job
        since = trio.current_time()
        held = False
        has_line = self._path_waiters.has_line(waiter)
        if not job.may_have_run and has_line:
            waiter.expires_at = self._state.compute_wait_end(job.route, since)
            if not self._path_waiters.make_place(waiter):
                return self._refuse_full(LINE_FULL_MESSAGE, waiter)
            await self._path_waiters.wait_turn(waiter, waiter.expires_at)
        while True:
            if waiter.is_displaced:
                self._sender.log_displaced(job)
                return self._refuse_full(DISPLACED_MESSAGE, waiter)
            found = self._state.find_path(
                job.request,
                job.route,
                job.service,
                frozenset(job.avoided),
                job.first_upstreams,
                job.may_have_run,
                since,
                trio.current_time(),
                bool(job.relayed_by),
                job.urgency,
                self._path_waiters.count_ahead(waiter),
            )
            if not isinstance(found, Wait):
                return found
            if found.shortage and not held:
                held = True
                self._sender.log_held(job, found.shortage)
            until = min(found.until, job.deadline)
            if found.needs_room:
                waiter.expires_at = until
                await self._path_waiters.wait_turn(waiter, until)
            else:
                await trio.sleep_until(until)

    def _refuse_full(self, message: str, waiter: Waiter) -> Problem:
        return self._state.refuse_full(
            message,
            self._job.request,
            self._job.route,
            self._job.service,
            self._path_waiters.count_ahead(waiter),
            trio.current_time(),
            self._job.urgency,
        )

    async def _send(self, path: Path) -> bool:
        """Send the request over a path; return whether the attempt is open."""
        job = self._job
        first = path.hops[0].upstream
        upstream = self._state.find_target(first)
        if upstream is None:
            self._sender.take_back(job, path.names)
            return False
        dispatch = Dispatch(
            job.request,
            upstream,
            path.hops,
            job.account_name,
            job.deadline - trio.current_time(),
            last_event=self._answer.last_event,
            # An earlier request's rejection on a kept connection may lack its id.
            fresh=job.fresh or not job.route.idempotent,
            sent_to=job.list_counted(upstream.name),
            avoided=tuple(sorted(job.avoided | self._find_asked())),
            may_repeat=job.may_repeat,
            urgency=job.urgency,
        )
        path_load = PathLoad(
            self._state.usage_tracker, job.request.prompt_tokens, self._length
        )
        path_load.switch_to(path)
        sent = False
        connection = None
        try:
            connection = await self._sender.open(job, dispatch)
            if connection is None:
                return False
            self._sender.log(
                "placed",
                job.request.request_id,
                path=path.describe(),
                crossings=len(path.links),
                cost=round(path.cost, 3),
                send=job.sends,
                last=self._answer.last_event,
                version=self._state.version,
            )
            job.possible_runs += 1
            try:
                await self._sender.send(job, connection)
            except BrokenConnection as error:
                self._handle_broken(path, upstream, str(error), 0)
                return False
            stall_handler = StallHandler(
                job, path_load, self._sender, self._stall_prober
            )
            self._attempts.append(
                StreamAttempt(connection, upstream, path_load, stall_handler)
            )
            sent = True
        finally:
            if not sent:
                path_load.release()
                if connection is not None:
                    connection.abort()
        return True

    def _find_asked(self) -> set[str]:
        """Return the first upstreams of the attempts that are open at other nodes."""
        report = [each.report for each in self._attempts]
        return {name for each in report if each is not None for name in each.sent_to}

    async def _wait(self, until: float) -> list[_Opened | _Arrived]:
        """Wait for the open attempts and for the replacement under way, if any.

        Returns
        -------
        list
            Empty if a stall timeout has passed, after `wake`, or if the only attempt
            broke off.
        """
        results: list[_Opened | _Arrived] = []
        replacement = self._replacement
        if replacement is None and self._woken:
            return results
        scope = trio.CancelScope(deadline=math.inf if replacement else until)
        if replacement is None:
            self._wait_scope = scope
        with scope:
            if len(self._attempts) == 1 and replacement is None:
                arrived = await self._follow(self._attempts[0], scope)
                return [arrived] if arrived is not None else []
            async with trio.open_nursery() as nursery:
                for attempt in self._attempts:
                    nursery.start_soon(
                        self._wait_received, attempt, results, nursery.cancel_scope
                    )
                if replacement is not None:
                    nursery.start_soon(
                        self._wait_opened, replacement, results, nursery.cancel_scope
                    )
        return results

    async def _follow(
        self, attempt: StreamAttempt, scope: trio.CancelScope
    ) -> _Arrived | None:
        """Pass on the events of the only attempt within one wait scope.

        Load pattern: tens of events a stream, each by itself; most need nothing but a
        later stall timeout.

        Returns
        -------
        _Arrived or None
            What is no event, to be handled outside of the scope; None after `wake`, or
            if the attempt broke off.
        """
        until = scope.deadline
        while True:
            received = await attempt.receive()
            # Neither the timeout nor `wake` may cut off the write of an event.
            scope.deadline = math.inf
            if scope.cancel_called or not self._is_next_part(attempt, received):
                return _Arrived(attempt, received)
            self._wait_scope = None
            progress_at = attempt.stall_handler.last_progress_at
            await self._handle_received(attempt, received)
            if self._woken or not self._attempts:
                return None
            if attempt.stall_handler.last_progress_at > progress_at:
                timeout = self._answer.compute_stall_timeout(attempt)
                until = attempt.stall_handler.last_progress_at + timeout
            self._wait_scope = scope
            scope.deadline = until

    def _is_next_part(self, attempt: StreamAttempt, received: Received) -> bool:
        """Tell whether a part goes on with what the caller gets from its attempt."""
        if self._source is not attempt or not isinstance(received, bytes):
            return False
        response = attempt.response
        return bool(received) and response is not None and response.success

    async def _wait_received(
        self,
        attempt: StreamAttempt,
        results: list[_Opened | _Arrived],
        scope: trio.CancelScope,
    ) -> None:
        results.append(_Arrived(attempt, await attempt.receive()))
        scope.cancel()

    async def _wait_opened(
        self,
        replacement: Replacement,
        results: list[_Opened | _Arrived],
        scope: trio.CancelScope,
    ) -> None:
        await replacement.wait_done()
        results.append(_Opened(replacement.problem))
        scope.cancel()

    def _handle_opened(self, problem: Problem | None) -> None:
        if problem is None:
            return
        self._replace_at = trio.current_time() + REPLACE_PERIOD
        self._sender.log(
            "not_replaced", self._job.request.request_id, reason=problem.message
        )

    async def _handle_received(
        self, attempt: StreamAttempt, received: Received
    ) -> bool:
        """Forward what was received; return whether the answer ended.

        The wait scope must not end it: a write that is cut off corrupts the answer.
        """
        try:
            match received:
                case Rejected():
                    self._handle_rejection(attempt, received)
                case Broken(reason=reason):
                    if attempt.response is None:
                        self._record_report(attempt)
                    raise BrokenConnection(reason)
                case Accepted():
                    self._record_report(attempt)
                    attempt.response = received
                    attempt.stall_handler.last_progress_at = trio.current_time()
                case data:
                    return await self._handle_body(attempt, data)
        except (BrokenConnection, SequenceError, AnswerTooLarge) as error:
            self._handle_broken(
                attempt.path,
                attempt.upstream,
                str(error),
                attempt.events,
                attempt.report,
            )
            self._close(attempt)
        return False

    def _record_report(self, attempt: StreamAttempt) -> None:
        if attempt.upstream.is_peer:
            self._sender.record_report(self._job, attempt.upstream, attempt.report)

    def _handle_broken(
        self,
        path: Path,
        upstream: Registration,
        reason: str,
        events: int,
        report: Handover | None = None,
    ) -> None:
        """Record that an attempt broke off, and the culprits, if they are known."""
        job = self._job
        culprits = self._state.find_culprits(path.names, trio.current_time())
        job.avoided.update(culprits)
        if not culprits or upstream.name in culprits:
            self._sender.handle_broken(job, upstream, reason, events, report)
            return
        # An engine cuts streams that waited too long for a dead stage, so the first
        # stage isn't the culprit.
        self._sender.log(
            "broken",
            job.request.request_id,
            upstream=", ".join(sorted(culprits)),
            reason=reason,
            events=events,
            parts=list(job.request.prompt_parts),
        )

    def _close(self, attempt: StreamAttempt) -> None:
        attempt.close()
        self._attempts.remove(attempt)

    def _continue_from(self, attempt: StreamAttempt) -> None:
        """Make an attempt the only source of the answer."""
        if self._replacement is not None:
            self._replacement.cancel()
            self._replacement = None
        if self._source is not attempt:
            self._source = attempt
            self._answer.restart_gaps()
        for other in [each for each in self._attempts if each is not attempt]:
            self._sender.log(
                "left",
                self._job.request.request_id,
                upstream=other.upstream.name,
                instead=attempt.upstream.name,
            )
            self._close(other)

    async def _handle_body(self, attempt: StreamAttempt, data: bytes) -> bool:
        """Forward a part of an answer's body; return whether the answer ended."""
        response = attempt.response
        if response is None:
            raise RuntimeError("the body came before the head of its answer")
        if not response.success:
            return await self._handle_failure(attempt, response, data)
        if not data:
            return await self._handle_end(attempt, response)
        events, fault = self._answer.accept_events(attempt, data)
        if events:
            # Only a whole event proves that an attempt can go on with the answer.
            self._continue_from(attempt)
            await self._answer.send_events(attempt, response, events)
        if fault is not None:
            raise fault
        return False

    async def _handle_end(self, attempt: StreamAttempt, response: Accepted) -> bool:
        if not attempt.buffer.is_empty:
            raise BrokenConnection("the stream ended within an event")
        if attempt.events == 0 and len(self._attempts) > 1:
            raise BrokenConnection("the stream ended without an event")
        attempt.connection.finish()
        await self._answer.end(attempt, response)
        return True

    async def _handle_failure(
        self, attempt: StreamAttempt, response: Accepted, data: bytes
    ) -> bool:
        """Collect an upstream's own failure, and forward it if no attempt is left."""
        if self._answer.has_begun:
            raise BrokenConnection("an error status in the middle of a stream")
        if not self._answer.collect_failure(attempt, response, data):
            return False
        attempt.connection.finish()
        self._close(attempt)
        if self._attempts:
            self._job.avoided.add(attempt.upstream.name)
            return False
        return await self._answer.forward_failure()

    def _handle_rejection(self, attempt: StreamAttempt, response: Rejected) -> None:
        if attempt.upstream.is_peer:
            self._sender.handle_peer_rejection(
                self._job, attempt.upstream, response, attempt.report
            )
            self._close(attempt)
            return
        now = trio.current_time()
        culprit = self._state.note_path_rejection(attempt.path, response, now)
        self._job.avoided.add(culprit)
        self._job.possible_runs -= 1
        self._close(attempt)
        is_culprit = bool(self._state.find_culprits((culprit,), now))
        self._sender.log(
            "rejected",
            self._job.request.request_id,
            upstream=culprit,
            blamed=is_culprit,
        )
        if is_culprit:
            self._stall_prober.notify_streams(culprit)
