"""Non-idempotent calls with an idempotency key: each runs at most once.

A call is sent only after its claim is committed to the platform store, at most
once and within a short time. A request that repeats the key gets the recorded
outcome or an error that the outcome is unknown.
"""

import urllib.parse

from tarragonrudder.core.admission.retry_budget import RetryBudget
from tarragonrudder.core.calls.keyed_call_state import KeyedCall, Phase
from tarragonrudder.core.calls.record import (
    Claim,
    Command,
    Doubt,
    Finish,
    Finished,
    Pending,
    Record,
    Unknown,
    Withdraw,
    Withdrawn,
    compute_digest,
    identify_record,
)
from tarragonrudder.core.calls.recorder import Recorder
from tarragonrudder.core.calls.response import (
    RETRY_AFTER,
    fail_call,
    make_in_progress_error,
    make_late_claim_error,
    make_outcome,
    make_unknown_outcome_error,
    make_unwritten_claim_error,
    respond_finished,
    respond_unrecorded,
)
from tarragonrudder.core.calls.service_pool import (
    ServicePool,
    is_not_run,
    mark_failed_upstream,
)
from tarragonrudder.core.domain.action import (
    Action,
    CallService,
    ClearTimer,
    LogDecision,
    ReadOutcome,
)
from tarragonrudder.core.domain.event import (
    OutcomeRead,
    ServiceAnswered,
    ServiceFailed,
    ServiceRequested,
)
from tarragonrudder.core.domain.fleet import ServiceRoute
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.errors import (
    KeyConflict,
    Problem,
    RunState,
    UpstreamFailed,
)

MAX_ATTEMPTS = 3  # upstreams tried while none has run the call
WAIT_LIMIT = 2.0  # seconds that a repeated request waits for the first call
WAIT_PERIOD = 0.4  # seconds between reads of the first call's record
OUTCOME_WAIT = 2.0  # seconds that a response is held back until it is recorded
RECORD_LIMIT = 20.0  # seconds after which recording an outcome is abandoned
RECORD_RETRY = 1.0  # seconds between attempts to record an outcome
QUERY_TIMEOUT = 1.0  # seconds for one outcome query
QUERY_PERIOD = 0.5  # seconds between rounds of outcome queries
QUERY_ROUNDS = 3
NO_UPSTREAM_RETRY_AFTER = 5.0  # seconds


class KeyedCalls:
    """All keyed calls that are in flight on this node."""

    def __init__(
        self,
        membership: Membership,
        pool: ServicePool,
        budget: RetryBudget,
        recorder: Recorder,
    ) -> None:
        self._membership = membership
        self._pool = pool
        self._budget = budget
        self._recorder = recorder
        self._calls: dict[str, KeyedCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def begin(
        self, event: ServiceRequested, route: ServiceRoute, now: float
    ) -> list[Action]:
        """Start a call by claiming its key."""
        key = event.key or ""
        identity = identify_record(event.account, event.service, key)
        digest = compute_digest(event.call_digest)
        call = KeyedCall(event, route, identity, digest, now)
        self._calls[event.request] = call
        return self._claim(call, now)

    def cancel(self, request: str) -> None:
        """Handle a caller's disconnect; a call not yet sent is withdrawn."""
        call = self._calls.get(request)
        if call is not None:
            call.disconnected = True

    def handle_results(self, now: float) -> list[Action]:
        """Continue the calls whose record commands have completed."""
        actions: list[Action] = []
        while results := self._recorder.take_results():
            for result in results:
                call = self._calls.get(result.ticket.partition("/")[0])
                if call is None or call.ticket != result.ticket:
                    continue
                actions.extend(self._handle_result(call, result.record, now))
        return actions

    def handle_response(self, event: ServiceAnswered, now: float) -> list[Action]:
        """Record a service's response, then pass it to the caller."""
        call = self._find_sent(event.request, event.attempt)
        if call is None:
            return []
        call.response = event
        outcome = make_outcome(event.status, event.content_type, event.body)
        return self._record(
            call, Finish(call.identity, call.digest, call.request, outcome), now
        )

    def handle_failure(self, event: ServiceFailed, now: float) -> list[Action]:
        """Retry on another upstream if the call did not run, else query its outcome."""
        call = self._find_sent(event.request, event.attempt)
        if call is None:
            return []
        actions = mark_failed_upstream(
            self._membership, call.upstream, event.failure, now
        )
        if not is_not_run(event.failure):
            actions.extend(self._start_queries(call, call.request, True, now))
            return actions
        may_send = not call.disconnected and now < call.send_by
        may_send = may_send and call.attempt < MAX_ATTEMPTS
        if may_send and self._budget.withdraw():
            actions.extend(self._send(call, now))
            return actions
        problem = UpstreamFailed(
            "the service ran nothing; send it again with the same key",
            RunState.NOT_RUN,
            RETRY_AFTER,
        )
        actions.extend(self._withdraw(call, problem, now))
        return actions

    def handle_outcome(self, event: OutcomeRead, now: float) -> list[Action]:
        """Record the outcome that an upstream returned, or query the next upstream."""
        call = self._calls.get(event.request)
        if call is None or call.phase is not Phase.QUERYING:
            return []
        if event.upstream != call.upstream:
            return []
        if event.status is None:
            return self._query_next(call, now)
        outcome = make_outcome(event.status, event.content_type, event.body)
        return self._record(
            call, Finish(call.identity, call.digest, call.writer, outcome), now
        )

    def handle_timer(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of a call."""
        kind, _, request = timer.partition(":")
        call = self._calls.get(request)
        if call is None:
            return []
        call.timers.discard(timer)
        match kind, call.phase:
            case "call-claim", Phase.CLAIMING:
                return self._fail_unclaimed(call, now)
            case "call-wait", Phase.WAITING:
                return self._claim(call, now)
            case "call-ask", Phase.QUERYING:
                return self._start_query_round(call, now)
            case "call-retry", Phase.RECORDING:
                return self._submit(call, call.command, call.record_by, now)
            case "call-answer", Phase.RECORDING:
                return respond_unrecorded(call)
        return []

    def _find_sent(self, request: str, attempt: int) -> KeyedCall | None:
        call = self._calls.get(request)
        if call is None or call.phase is not Phase.SENT or call.attempt != attempt:
            return None
        return call

    def _claim(self, call: KeyedCall, now: float) -> list[Action]:
        call.phase = Phase.CLAIMING
        call.claimed_at = now
        actions = [call.set_timer("call-claim", call.send_by)]
        claim = Claim(call.identity, call.digest, call.request)
        actions.extend(self._submit(call, claim, call.send_by, now))
        return actions

    def _submit(
        self, call: KeyedCall, command: Command | None, deadline: float, now: float
    ) -> list[Action]:
        if command is None:
            return []
        call.step += 1
        actions = self._recorder.submit(call.ticket, command, deadline, now)
        actions.extend(self.handle_results(now))
        return actions

    def _handle_result(
        self, call: KeyedCall, record: Record | None, now: float
    ) -> list[Action]:
        if call.phase is Phase.CLAIMING:
            if record is None:
                return self._fail_unclaimed(call, now)
            return self._handle_claimed(call, record, now)
        if call.phase is Phase.RECORDING:
            return self._handle_recorded(call, record, now)
        return []

    def _handle_claimed(
        self, call: KeyedCall, record: Record, now: float
    ) -> list[Action]:
        match record.state:
            case Pending(writer=writer) if writer == call.request:
                if call.disconnected or now >= call.send_by:
                    return self._withdraw(call, make_late_claim_error(), now)
                fields = {"request": call.request, "record": call.identity}
                actions: list[Action] = [LogDecision("intent_committed", fields)]
                actions.extend(self._send(call, now))
                return actions
            case Withdrawn():
                return self._end(call, make_late_claim_error())
        if record.digest != call.digest:
            problem = KeyConflict(
                "this key was used for another request; use a new key",
                RunState.NOT_RUN,
            )
            return self._end(call, problem)
        match record.state:
            case Pending(writer=writer):
                return self._wait(call, record, writer, now)
        return self._respond_recorded(call, record, now)

    def _wait(
        self, call: KeyedCall, record: Record, writer: str, now: float
    ) -> list[Action]:
        lost = now - record.written_at > call.pending_limit
        if not lost and now - call.started_at < WAIT_LIMIT:
            call.phase = Phase.WAITING
            return [call.set_timer("call-wait", now + WAIT_PERIOD)]
        return self._start_queries(call, writer, lost, now)

    def _send(self, call: KeyedCall, now: float) -> list[Action]:
        service = self._pool.choose(call.event.service, call.tried, now)
        if service is None:
            problem = UpstreamFailed(
                "no upstream of this service is live; send it again with this key",
                RunState.NOT_RUN,
                NO_UPSTREAM_RETRY_AFTER,
            )
            return self._withdraw(call, problem, now)
        call.phase = Phase.SENT
        call.attempt += 1
        call.upstream = service.name
        call.tried.add(service.name)
        fields = {
            "request": call.request,
            "record": call.identity,
            "attempt": call.attempt,
            "upstream": service.name,
        }
        return [
            LogDecision("call_sent", fields),
            CallService(
                call.request,
                call.attempt,
                service.name,
                service.address,
                call.timeout,
                call.event.key,
                call.send_by,
                call.identity,
            ),
        ]

    def _start_queries(
        self, call: KeyedCall, writer: str, must_resolve: bool, now: float
    ) -> list[Action]:
        """Query the upstreams for the outcome.

        With `must_resolve` the outcome is recorded as unknown if none reports it.
        """
        call.phase = Phase.QUERYING
        call.writer = writer
        call.must_resolve = must_resolve
        call.query_round = 0
        return self._start_query_round(call, now)

    def _start_query_round(self, call: KeyedCall, now: float) -> list[Action]:
        call.query_round += 1
        call.query_targets = self._pool.list_queryable(call.event.service)
        return self._query_next(call, now)

    def _query_next(self, call: KeyedCall, now: float) -> list[Action]:
        if call.query_targets:
            service = call.query_targets.pop(0)
            call.upstream = service.name
            key = urllib.parse.quote(call.event.key or "", safe="")
            path = (service.outcome_path or "").replace("{key}", key)
            return [
                ReadOutcome(
                    call.request,
                    service.name,
                    service.address,
                    path,
                    call.identity,
                    QUERY_TIMEOUT,
                )
            ]
        if not call.must_resolve:
            return self._end(call, make_in_progress_error())
        if (
            self._pool.list_queryable(call.event.service)
            and call.query_round < QUERY_ROUNDS
        ):
            return [call.set_timer("call-ask", now + QUERY_PERIOD)]
        return self._record(call, Doubt(call.identity, call.digest, call.writer), now)

    def _record(self, call: KeyedCall, command: Command, now: float) -> list[Action]:
        call.phase = Phase.RECORDING
        call.command = command
        call.record_by = now + RECORD_LIMIT
        actions: list[Action] = []
        if not call.responded:
            timer = call.set_timer("call-answer", now + OUTCOME_WAIT)
            actions.append(timer)
        actions.extend(self._submit(call, command, call.record_by, now))
        return actions

    def _withdraw(self, call: KeyedCall, problem: Problem, now: float) -> list[Action]:
        fields = {"request": call.request, "record": call.identity}
        actions: list[Action] = [LogDecision("call_withdrawn", fields)]
        call.problem = problem
        command = Withdraw(call.identity, call.digest, call.request)
        actions.extend(self._record(call, command, now))
        return actions

    def _fail_unclaimed(self, call: KeyedCall, now: float) -> list[Action]:
        """Fail the call at once, because the platform does not respond.

        The claim may have been committed, or may be committed later, so it is
        withdrawn once the platform responds.
        """
        problem = make_unwritten_claim_error()
        actions = fail_call(call, problem)
        actions.extend(self._withdraw(call, problem, now))
        return actions

    def _handle_recorded(
        self, call: KeyedCall, record: Record | None, now: float
    ) -> list[Action]:
        if record is None and now < call.record_by:
            return [call.set_timer("call-retry", now + RECORD_RETRY)]
        fields = {"request": call.request, "record": call.identity}
        if record is None:
            actions: list[Action] = [LogDecision("outcome_not_recorded", fields)]
            actions.extend(respond_unrecorded(call))
            actions.extend(self._forget(call))
            return actions
        state = type(record.state).__name__
        actions = [LogDecision("outcome_recorded", {**fields, "state": state})]
        if call.responded:
            actions.extend(self._forget(call))
            return actions
        actions.extend(self._respond_recorded(call, record, now))
        return actions

    def _respond_recorded(
        self, call: KeyedCall, record: Record, now: float
    ) -> list[Action]:
        """Respond to the caller from the committed record."""
        match record.state:
            case Finished() as outcome:
                actions = respond_finished(call, outcome)
                actions.extend(self._forget(call))
                return actions
            case Unknown():
                return self._end(call, make_unknown_outcome_error())
            case _ if call.problem is not None:
                return self._end(call, call.problem)
            case Withdrawn() if call.attempt == 0:
                return self._claim(call, now)
            case Withdrawn():
                return self._end(call, make_unknown_outcome_error())
        return self._end(call, make_in_progress_error())

    def _end(self, call: KeyedCall, problem: Problem) -> list[Action]:
        actions = fail_call(call, problem)
        actions.extend(self._forget(call))
        return actions

    def _forget(self, call: KeyedCall) -> list[Action]:
        self._calls.pop(call.request, None)
        return [ClearTimer(timer) for timer in sorted(call.timers)]
