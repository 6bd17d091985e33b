"""Forwards opaque requests to upstreams and their answers back.

The decisions are made in ``core/forwarding``; the edges only wait, send and report
what happened.
"""

import typing as t
from dataclasses import replace

import trio

from tarragonrudder.core.domain.forwarded_request import ForwardedRequest
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.edges.background import BackgroundTasks
from tarragonrudder.edges.job import MIN_HANGING_TIME, Job, LogFunction, Sender
from tarragonrudder.edges.path_waiters import PathWaiters
from tarragonrudder.edges.plain_calls import PlainCalls
from tarragonrudder.edges.relay_interfaces import Handover, Reply, UpstreamClient
from tarragonrudder.edges.stall_prober import StallProber
from tarragonrudder.edges.streaming import Streams
from tarragonrudder.errors import (
    DeadlineExceeded,
    Overloaded,
    Problem,
    RunState,
    UpstreamFailed,
)

# Seconds; a fleet that was full for a whole timeout needs more time to recover.
TIMEOUT_RETRY_AFTER = 1.0
# Seconds after its start in which a node without a configuration lets requests wait for
# it, and the longest such wait: about as long as callers wait to be refused and return.
START_PERIOD = 4.0
START_WAIT = 1.0
# Part of the time that a caller has which such a wait may use.
START_WAIT_SHARE = 0.25


class ResponseAborted(Exception):
    """An answer that was partly sent can't be completed."""


class Relay:
    """Forwards callers' requests; `serve` is called once per request."""

    def __init__(
        self, state: ForwardingState, upstreams: UpstreamClient, log: LogFunction
    ) -> None:
        self._state = state
        self._log = log
        self._sender = sender = Sender(state, upstreams, log)
        self._stall_prober = StallProber(sender)
        self._plain_calls = PlainCalls(sender)
        self._path_waiters = PathWaiters(state.urgencies, state.account_shares)
        self._streams = Streams(sender, self._stall_prober, self._path_waiters)
        self._configured = trio.Event()
        self._start_until: float | None = None

    def start(self, tasks: BackgroundTasks) -> None:
        """Start tasks that outlive a request."""
        self._note_start()
        self._sender.start()
        self._stall_prober.start(tasks)
        self._path_waiters.start(tasks)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a path."""
        return self._path_waiters.count

    def notify_configured(self) -> None:
        """Admit the requests that wait for the first configuration."""
        self._configured.set()

    def count_waiting(self, service: str) -> dict[int, int]:
        """Return how many requests of each priority level wait for a service."""
        return self._path_waiters.count_by_level(service)

    def notify_streams(self, upstream: str) -> None:
        """Wake the streams whose path includes an upstream."""
        self._stall_prober.notify_streams(upstream)

    def notify_all_streams(self) -> None:
        """Wake all streams, after a cut of this node was found or has ended."""
        self._stall_prober.notify_all()

    async def serve(
        self,
        request: ForwardedRequest,
        reply: Reply,
        handover: Handover | None = None,
    ) -> Problem | None:
        """Answer a request; return the problem if it can't be answered.

        Parameters
        ----------
        handover : Handover or None
            What another node tells of a request that it passes on.

        Raises
        ------
        ResponseAborted
            If the answer was partly sent and can't be completed.
        CallerDisconnected
            If the caller closed its connection.
        """
        if self._state.route_table is None:
            await self._wait_configured(request)
        admitted = self._state.admit(request, handover is not None)
        if isinstance(admitted, Problem):
            return self.refuse(request, admitted)
        route, account, service = admitted
        limit = route.timeout
        if request.timeout is not None:
            limit = min(limit, request.timeout)
        job = Job(request, route, account, service, request.arrived + limit)
        urgencies = self._state.urgencies
        job.urgency = urgencies.find_level(route, account, service)
        if route.streaming:
            urgencies.note_arrival(service, job.urgency, request.arrived)
        if handover is not None:
            job.relayed_by = handover.node
            job.earlier_upstreams = frozenset(handover.sent_to)
            job.avoided.update(handover.avoided)
            reply.report_sends(job.sent_to, job.avoided)
            job.announce_sends = reply.announce_sends
            job.sender_may_repeat = handover.may_repeat
            self._log(
                "run_for_peer",
                request.request_id,
                peer=handover.node,
                sent_to=list(handover.sent_to),
            )
        problem: Problem | None = None
        with trio.move_on_at(job.deadline) as scope:
            if route.streaming:
                problem = await self._streams.serve(job, reply)
            else:
                problem = await self._plain_calls.serve(job, reply)
        if scope.cancelled_caught:
            problem = self._handle_timeout(job)
        if problem is None:
            return None
        if reply.begun:
            self._log(
                "broken_off",
                request.request_id,
                reason=problem.message,
                upstreams=sorted(job.first_upstreams),
                sends=job.sends,
                route=job.route.name,
                version=self._state.version,
                took=round(trio.current_time() - request.arrived, 3),
            )
            raise ResponseAborted(problem.message)
        if problem.run_state is RunState.NOT_RUN and job.may_have_run:
            problem = UpstreamFailed(problem.message, RunState.UNKNOWN)
        if problem.retry_after is not None:
            after = max(problem.retry_after, job.peer_retry_after)
            problem = replace(problem, retry_after=after)
        return self.refuse(request, problem, job.first_upstreams)

    async def _wait_configured(self, request: ForwardedRequest) -> None:
        """Let a request wait for the first configuration after the node's start.

        Load pattern: all nodes restart at once and are asked before they have read the
        store. A refusal would use up the one retry that many callers have.
        """
        wait = START_WAIT
        if request.timeout is not None:
            wait = min(wait, START_WAIT_SHARE * request.timeout)
        with trio.move_on_at(min(self._note_start(), request.arrived + wait)):
            await self._configured.wait()

    def _note_start(self) -> float:
        """Return until when requests may wait; the first of them may come first."""
        if self._start_until is None:
            self._start_until = trio.current_time() + START_PERIOD
        return self._start_until

    def _handle_timeout(self, job: Job) -> Problem:
        self._handle_hanging(job)
        if job.may_have_run:
            return DeadlineExceeded("no answer within the time limit", RunState.UNKNOWN)
        message = "no upstream within the time limit"
        return Overloaded(message, retry_after=TIMEOUT_RETRY_AFTER)

    def _handle_hanging(self, job: Job) -> None:
        """Record which plain upstreams did not answer before the deadline."""
        now = trio.current_time()
        for name, started_at in job.running.items():
            waited = now - started_at
            self._log(
                "hanging",
                job.request.request_id,
                upstream=name,
                waited=round(waited, 3),
            )
            if waited >= MIN_HANGING_TIME:
                self._state.note_silence((name,), now)

    def refuse(
        self,
        request: ForwardedRequest,
        problem: Problem,
        upstreams: t.Iterable[str] = (),
    ) -> Problem:
        """Log that a request is refused; return the problem.

        Parameters
        ----------
        upstreams : iterable of str
            Upstreams that it was sent to.
        """
        self._log(
            "refused",
            request.request_id,
            status=problem.status,
            reason=problem.message,
            run=problem.run_state.value,
            retry_after=problem.retry_after,
            version=self._state.version,
            held=round(trio.current_time() - request.arrived, 3),
            upstreams=sorted(upstreams),
        )
        return problem
