"""Forwards requests to plain services, with retries."""

import math
from dataclasses import dataclass

import trio

from tarragonrudder.core.domain.forwarded_request import (
    Accepted,
    InvalidResponse,
    Rejected,
)
from tarragonrudder.core.forwarding.state import PATH_POLL_PERIOD, PATH_WAIT_SHARE
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.edges.connection import BrokenConnection
from tarragonrudder.edges.job import (
    MIN_HANGING_TIME,
    AnswerTooLarge,
    Job,
    Sender,
    read_whole,
)
from tarragonrudder.edges.relay_interfaces import Attempt, Dispatch, Reply
from tarragonrudder.errors import Problem

# Share of the latency target after which an idempotent request is sent to another
# upstream as well: the second answer is then late, but not lost.
RETRY_TIMEOUT_SHARE = 1.0
# Part of the time left after which it is sent at the latest.
TIME_LEFT_SHARE = 2.0 / 3.0
# Seconds; with less time left, another answer can't be waited for.
MIN_LIMITED_TIMEOUT = 0.05

# Seconds before the deadline at which an upstream's failure is forwarded, if no other
# upstream has answered.
FAILURE_MARGIN = 0.02


@dataclass(frozen=True, slots=True)
class _Answer:
    """An upstream's whole answer."""

    upstream: str
    response: Accepted
    body: bytes


@dataclass(frozen=True, slots=True)
class _Result:
    """The end of one attempt; `answer` is None if it can't be forwarded."""

    answer: _Answer | None


class PlainCalls:
    """Serves requests whose answers are buffered and forwarded whole."""

    def __init__(self, sender: Sender) -> None:
        self._sender = sender

    async def serve(self, job: Job, reply: Reply) -> Problem | None:
        """Answer a request; return the problem if it can't be answered."""
        call = _Call(job, self._sender)
        answer = await call.collect_answer()
        if answer is None:
            return self._sender.state.refuse_call(
                job.request,
                job.service,
                job.avoided,
                job.may_have_run,
                call.decided_at,
            )
        response = answer.response
        await reply.send_whole(response.status, response.headers, answer.body)
        self._sender.log_end(job, response.status, upstream=answer.upstream)
        return None


class _Call:
    """One caller's request.

    Load pattern: a sound upstream is slow or silent for a second, and the others are
    full. An attempt stays open while another upstream is tried.
    """

    def __init__(self, job: Job, sender: Sender) -> None:
        self._job = job
        self._sender = sender
        self._state = sender.state
        self._suspected: set[str] = set()
        self._peer_attempts: dict[str, Attempt] = {}  # the open ones, by node
        self._held = False
        # When it was last found that no upstream may be asked. Room may appear within
        # a millisecond; the reason of a refusal must be that of the decision.
        self.decided_at = trio.current_time()

    async def collect_answer(self) -> _Answer | None:
        """Return the best answer of an upstream, None if there is none.

        A failure is returned only if no other upstream answers in time.
        """
        job = self._job
        failure: _Answer | None = None
        sender, receiver = trio.open_memory_channel[_Result](math.inf)
        async with trio.open_nursery() as nursery:
            while True:
                upstream = self._choose()
                if upstream is not None and self._sender.start_send(
                    job, (upstream.name,)
                ):
                    job.avoided.add(upstream.name)
                    job.running[upstream.name] = trio.current_time()
                    nursery.start_soon(self._run_attempt, upstream, sender)
                elif not job.running:
                    if failure is None and await self._wait_for_turn():
                        continue
                    return failure
                until = trio.current_time() + self._compute_retry_timeout()
                if failure is not None:
                    until = min(until, job.deadline - FAILURE_MARGIN)
                result = await _receive(receiver, until)
                if result is not None:
                    answer = result.answer
                    if answer is None:
                        continue
                    if self._may_improve(answer):
                        self._log_sent_again(answer)
                        failure = answer
                        continue
                    nursery.cancel_scope.cancel()
                    return answer
                if failure is not None and until >= job.deadline - FAILURE_MARGIN:
                    nursery.cancel_scope.cancel()
                    return failure
                self._suspect_silent()

    def _choose(self) -> Registration | None:
        job = self._job
        if not job.has_upstreams_left:
            return None
        if job.may_have_run and not job.route.idempotent:
            return None
        now = self.decided_at = trio.current_time()
        if self._state.refuse_blocked(job.request, job.may_have_run, now) is not None:
            return None
        return self._state.choose_upstream(
            job.service, job.avoided, now, bool(job.relayed_by)
        )

    async def _wait_for_turn(self) -> bool:
        """Wait a little for an upstream's turn; return whether that may help."""
        job = self._job
        if job.may_have_run and not job.route.idempotent or not job.has_upstreams_left:
            return False
        now = self.decided_at
        remaining = (
            job.request.arrived + PATH_WAIT_SHARE * job.route.first_byte_target - now
        )
        shortage = self._state.find_shortage(job.request, job.service, job.avoided, now)
        if shortage is None or shortage.wait > remaining:
            return False
        if not self._held:
            self._held = True
            self._sender.log_held(job, shortage.reason)
        await trio.sleep(PATH_POLL_PERIOD)
        return True

    async def _run_attempt(
        self, upstream: Registration, sender: trio.MemorySendChannel[_Result]
    ) -> None:
        names = (upstream.name,)
        self._state.usage_tracker.start(names, 0)
        try:
            answer = await self._send_once(upstream)
        finally:
            self._state.usage_tracker.finish(names, 0)
        del self._job.running[upstream.name]
        sender.send_nowait(_Result(answer))

    async def _send_once(self, upstream: Registration) -> _Answer | None:
        """Send the request once; return the answer if it can be forwarded."""
        job = self._job
        # An upstream may close a reused connection while the request is on its way;
        # whether the request ran is then unknown.
        dispatch = Dispatch(
            job.request,
            upstream,
            (),
            job.account_name,
            job.deadline - trio.current_time(),
            fresh=not job.route.idempotent,
            sent_to=job.list_counted(upstream.name),
            avoided=tuple(sorted(job.avoided | self._find_asked())),
            may_repeat=job.may_repeat,
            urgency=job.urgency,
        )
        attempt = await self._sender.open(job, dispatch)
        if attempt is None:
            return None
        job.possible_runs += 1
        if upstream.is_peer:
            self._peer_attempts[upstream.name] = attempt
        try:
            answer = await self._exchange(attempt)
        except (BrokenConnection, AnswerTooLarge) as error:
            report = attempt.report if upstream.is_peer else None
            self._sender.record_report(job, upstream, report)
            self._sender.handle_broken(job, upstream, str(error), report=report)
            return None
        finally:
            self._peer_attempts.pop(upstream.name, None)
            attempt.abort()
        now = trio.current_time()
        if isinstance(answer, Rejected) and upstream.is_peer:
            self._sender.handle_peer_rejection(job, upstream, answer, attempt.report)
            return None
        if upstream.is_peer:
            self._sender.record_report(job, upstream, attempt.report)
        if isinstance(answer, Rejected):
            job.possible_runs -= 1
            self._sender.log("rejected", job.request.request_id, upstream=upstream.name)
            self._state.note_rejection(upstream.name, answer, now)
            return None
        response, body = answer
        self._state.upstream_table.note_progress((upstream.name,), now)
        self._state.note_sound_run(job.request, now)
        return _Answer(upstream.name, response, body)

    def _find_asked(self) -> set[str]:
        """Return the upstreams that other nodes wait for."""
        report = [each.report for each in self._peer_attempts.values()]
        return {name for each in report if each is not None for name in each.sent_to}

    async def _exchange(self, attempt: Attempt) -> tuple[Accepted, bytes] | Rejected:
        await self._sender.send(self._job, attempt)
        response = await attempt.read_response()
        match response:
            case Rejected():
                return response
            case InvalidResponse(detail=detail):
                raise BrokenConnection(detail)
            case Accepted():
                body = await read_whole(attempt)
                attempt.finish()
                return response, body

    def _may_improve(self, answer: _Answer) -> bool:
        """Tell whether another upstream may give a better answer in time."""
        if answer.response.status < 500 or not self._job.route.idempotent:
            return False
        if trio.current_time() >= self._job.deadline - FAILURE_MARGIN:
            return False
        return bool(self._job.running) or self._choose() is not None

    def _log_sent_again(self, answer: _Answer) -> None:
        self._sender.log(
            "sent_again",
            self._job.request.request_id,
            upstream=answer.upstream,
            status=answer.response.status,
            sent_to=list(self._job.sent_to),
        )

    def _suspect_silent(self) -> None:
        """Avoid upstreams that have not answered in time.

        The last moment to ask another one may come earlier, and proves nothing.
        """
        now = trio.current_time()
        shortest = min(self._retry_timeout, MIN_HANGING_TIME)
        for name, started_at in self._job.running.items():
            if name in self._suspected or now < started_at + shortest:
                continue
            self._suspected.add(name)
            self._state.note_silence((name,), now)
            self._sender.log(
                "slow",
                self._job.request.request_id,
                upstream=name,
                waited=round(now - started_at, 3),
            )

    def _compute_retry_timeout(self) -> float:
        if not self._job.route.idempotent or self._choose() is None:
            return math.inf
        time_left = self._job.deadline - trio.current_time()
        limit = max(TIME_LEFT_SHARE * time_left, MIN_LIMITED_TIMEOUT)
        return min(self._retry_timeout, limit)

    @property
    def _retry_timeout(self) -> float:
        """Seconds without an answer after which another upstream is asked."""
        return RETRY_TIMEOUT_SHARE * self._job.route.first_byte_target


async def _receive(
    receiver: trio.MemoryReceiveChannel[_Result], until: float
) -> _Result | None:
    """Return the end of an attempt, None if there is none at a time."""
    with trio.move_on_at(until):
        return await receiver.receive()
    try:
        # It may have come at the moment at which the wait ended.
        return receiver.receive_nowait()
    except trio.WouldBlock:
        return None
