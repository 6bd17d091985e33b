"""Non-idempotent calls with an idempotency key: each runs at most once.

A call leaves only after its claim stands in the platform, once, and within a
short time. Whoever sends the same key again gets the recorded outcome, or
learns that it is unknown.
"""

import enum
import urllib.parse
from dataclasses import dataclass, field

from tarragonrudder.core.action import (
    Action,
    AnswerService,
    CallService,
    ClearTimer,
    FailAnswer,
    LogDecision,
    ReadOutcome,
    SetTimer,
)
from tarragonrudder.core.budget import RetryBudget
from tarragonrudder.core.event import (
    OutcomeRead,
    ServiceAnswered,
    ServiceFailed,
    ServiceRequested,
)
from tarragonrudder.core.fleet import Service, ServiceRoute
from tarragonrudder.core.membership import Membership
from tarragonrudder.core.pool import ServicePool, is_not_run, note_failure
from tarragonrudder.core.record import (
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
    identify_record,
    shorten_digest,
)
from tarragonrudder.core.recorder import Recorder
from tarragonrudder.errors import (
    KeyConflict,
    KeyInProgress,
    OutcomeNotKept,
    OutcomeUnknown,
    PlatformUnavailable,
    Problem,
    RunState,
    UpstreamFailed,
)

MAX_ATTEMPTS = 3  # upstreams tried, where those before ran nothing
MAX_TIMEOUT = 300.0  # seconds for one call; far below the records' retention
MAX_KEPT_BODY = 2048  # bytes of an answer that its record keeps
SEND_VALIDITY = 3.0  # seconds from asking for a claim to the latest send
WAIT_LIMIT = 2.0  # seconds for which a resend waits for the first call
WAIT_PERIOD = 0.4  # seconds between two looks at the first call's record
PENDING_MARGIN = 15.0  # seconds beyond a call's timeout for it to be recorded
OUTCOME_WAIT = 2.0  # seconds for which an answer waits to be recorded
RECORD_LIMIT = 20.0  # seconds for which recording is tried
RECORD_RETRY = 0.5  # seconds
ASK_TIMEOUT = 1.0  # seconds
ASK_PERIOD = 0.5  # seconds
ASK_ROUNDS = 3
RETRY_AFTER = 1.0  # seconds
PLATFORM_RETRY_AFTER = 5.0  # seconds


class _Phase(enum.Enum):
    CLAIMING = enum.auto()
    WAITING = enum.auto()
    SENT = enum.auto()
    ASKING = enum.auto()
    RECORDING = enum.auto()


@dataclass(slots=True)
class _Call:
    event: ServiceRequested
    route: ServiceRoute
    identity: str
    digest: str
    began: float
    phase: _Phase = _Phase.CLAIMING
    claimed_at: float = 0.0
    step: int = 0
    attempt: int = 0
    upstream: str = ""
    tried: set[str] = field(default_factory=set)
    gone: bool = False
    answered: bool = False
    # The writer whose call's outcome is looked for, and what to record of it.
    writer: str = ""
    final: bool = True
    askable: list[Service] = field(default_factory=list)
    round: int = 0
    command: Command | None = None
    answer: ServiceAnswered | None = None
    problem: Problem | None = None
    record_by: float = 0.0
    timers: set[str] = field(default_factory=set)

    @property
    def request(self) -> str:
        return self.event.request

    @property
    def ticket(self) -> str:
        return f"{self.event.request}/{self.step}"

    @property
    def send_by(self) -> float:
        return self.claimed_at + SEND_VALIDITY

    @property
    def timeout(self) -> float:
        return min(self.route.timeout, MAX_TIMEOUT)


class KeyedCalls:
    """All keyed calls in flight on this node."""

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
        self._calls: dict[str, _Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def begin(
        self, event: ServiceRequested, route: ServiceRoute, now: float
    ) -> list[Action]:
        """Start a call: first claim its key."""
        key = event.key or ""
        identity = identify_record(event.account, event.service, key)
        digest = shorten_digest(event.body_digest)
        call = _Call(event, route, identity, digest, now)
        self._calls[event.request] = call
        return self._claim(call, now)

    def cancel(self, request: str) -> None:
        """Note that the caller is gone: what is not sent is given up."""
        call = self._calls.get(request)
        if call is not None:
            call.gone = True

    def settle(self, now: float) -> list[Action]:
        """Go on with the calls whose commands were decided."""
        actions: list[Action] = []
        while decided := self._recorder.take_decided():
            for item in decided:
                call = self._calls.get(item.ticket.partition("/")[0])
                if call is None or call.ticket != item.ticket:
                    continue
                actions.extend(self._merge_record(call, item.record, now))
        return actions

    def merge_answer(self, event: ServiceAnswered, now: float) -> list[Action]:
        """Record a service's answer, then pass it on."""
        call = self._find_sent(event.request, event.attempt)
        if call is None:
            return []
        call.answer = event
        outcome = _keep_outcome(event.status, event.content_type, event.body)
        return self._record(
            call, Finish(call.identity, call.digest, call.request, outcome), now
        )

    def merge_failure(self, event: ServiceFailed, now: float) -> list[Action]:
        """Send to another upstream if nothing ran, else look for the outcome."""
        call = self._find_sent(event.request, event.attempt)
        if call is None:
            return []
        actions = note_failure(self._membership, call.upstream, event.failure, now)
        if not is_not_run(event.failure):
            actions.extend(self._ask(call, call.request, True, now))
            return actions
        may_send = not call.gone and now < call.send_by
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

    def merge_outcome(self, event: OutcomeRead, now: float) -> list[Action]:
        """Record an outcome that an upstream told, or ask the next one."""
        call = self._calls.get(event.request)
        if call is None or call.phase is not _Phase.ASKING:
            return []
        if event.upstream != call.upstream:
            return []
        if event.status is None:
            return self._ask_next(call, now)
        outcome = _keep_outcome(event.status, event.content_type, event.body)
        return self._record(
            call, Finish(call.identity, call.digest, call.writer, outcome), now
        )

    def fire(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of a call."""
        kind, _, request = timer.partition(":")
        call = self._calls.get(request)
        if call is None:
            return []
        call.timers.discard(timer)
        match kind, call.phase:
            case "call-claim", _Phase.CLAIMING:
                return self._refuse(call, now)
            case "call-wait", _Phase.WAITING:
                return self._claim(call, now)
            case "call-ask", _Phase.ASKING:
                return self._ask_round(call, now)
            case "call-retry", _Phase.RECORDING:
                return self._submit(call, call.command, call.record_by, now)
            case "call-answer", _Phase.RECORDING:
                return self._answer_unrecorded(call)
        return []

    def _find_sent(self, request: str, attempt: int) -> _Call | None:
        call = self._calls.get(request)
        if call is None or call.phase is not _Phase.SENT or call.attempt != attempt:
            return None
        return call

    def _claim(self, call: _Call, now: float) -> list[Action]:
        call.phase = _Phase.CLAIMING
        call.claimed_at = now
        actions = [self._set_timer(call, "call-claim", call.send_by)]
        claim = Claim(call.identity, call.digest, call.request)
        actions.extend(self._submit(call, claim, call.send_by, now))
        return actions

    def _submit(
        self, call: _Call, command: Command | None, deadline: float, now: float
    ) -> list[Action]:
        if command is None:
            return []
        call.step += 1
        actions = self._recorder.submit(call.ticket, command, deadline, now)
        actions.extend(self.settle(now))
        return actions

    def _merge_record(
        self, call: _Call, record: Record | None, now: float
    ) -> list[Action]:
        if call.phase is _Phase.CLAIMING:
            if record is None:
                return self._refuse(call, now)
            return self._merge_claim(call, record, now)
        if call.phase is _Phase.RECORDING:
            return self._merge_recorded(call, record, now)
        return []

    def _merge_claim(self, call: _Call, record: Record, now: float) -> list[Action]:
        match record.state:
            case Pending(writer=writer) if writer == call.request:
                if call.gone or now >= call.send_by:
                    return self._withdraw(call, _describe_late(), now)
                fields = {"request": call.request, "record": call.identity}
                actions: list[Action] = [LogDecision("intent_committed", fields)]
                actions.extend(self._send(call, now))
                return actions
            case Withdrawn():
                return self._end(call, _describe_late())
        if record.digest != call.digest:
            problem = KeyConflict(
                "this key was used for another request; use a new key",
                RunState.NOT_RUN,
            )
            return self._end(call, problem)
        match record.state:
            case Pending(writer=writer):
                return self._wait(call, record, writer, now)
        return self._answer_recorded(call, record, now)

    def _wait(
        self, call: _Call, record: Record, writer: str, now: float
    ) -> list[Action]:
        lost = now - record.at > SEND_VALIDITY + call.timeout + PENDING_MARGIN
        if not lost and now - call.began < WAIT_LIMIT:
            call.phase = _Phase.WAITING
            return [self._set_timer(call, "call-wait", now + WAIT_PERIOD)]
        return self._ask(call, writer, lost, now)

    def _send(self, call: _Call, now: float) -> list[Action]:
        service = self._pool.choose(call.event.service, call.tried, now)
        if service is None:
            problem = UpstreamFailed(
                "no upstream of this service is live; send it again with this key",
                RunState.NOT_RUN,
                PLATFORM_RETRY_AFTER,
            )
            return self._withdraw(call, problem, now)
        call.phase = _Phase.SENT
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

    def _ask(self, call: _Call, writer: str, final: bool, now: float) -> list[Action]:
        """Ask the upstreams; `final` says that no answer settles the record."""
        call.phase = _Phase.ASKING
        call.writer = writer
        call.final = final
        call.round = 0
        return self._ask_round(call, now)

    def _ask_round(self, call: _Call, now: float) -> list[Action]:
        call.round += 1
        call.askable = self._pool.list_askable(call.event.service)
        return self._ask_next(call, now)

    def _ask_next(self, call: _Call, now: float) -> list[Action]:
        if call.askable:
            service = call.askable.pop(0)
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
                    ASK_TIMEOUT,
                )
            ]
        if not call.final:
            return self._end(call, _describe_progress())
        if self._pool.list_askable(call.event.service) and call.round < ASK_ROUNDS:
            return [self._set_timer(call, "call-ask", now + ASK_PERIOD)]
        return self._record(call, Doubt(call.identity, call.digest, call.writer), now)

    def _record(self, call: _Call, command: Command, now: float) -> list[Action]:
        call.phase = _Phase.RECORDING
        call.command = command
        call.record_by = now + RECORD_LIMIT
        actions: list[Action] = []
        if not call.answered:
            timer = self._set_timer(call, "call-answer", now + OUTCOME_WAIT)
            actions.append(timer)
        actions.extend(self._submit(call, command, call.record_by, now))
        return actions

    def _withdraw(self, call: _Call, problem: Problem, now: float) -> list[Action]:
        fields = {"request": call.request, "record": call.identity}
        actions: list[Action] = [LogDecision("call_withdrawn", fields)]
        call.problem = problem
        command = Withdraw(call.identity, call.digest, call.request)
        actions.extend(self._record(call, command, now))
        return actions

    def _refuse(self, call: _Call, now: float) -> list[Action]:
        """Refuse at once, as the platform does not answer.

        The claim may stand all the same, or be written later: it is withdrawn
        as soon as the platform answers.
        """
        problem = PlatformUnavailable(
            "the call was not sent, as its record could not be written; "
            "send it again with the same key",
            RunState.NOT_RUN,
            PLATFORM_RETRY_AFTER,
        )
        actions = self._fail(call, problem)
        actions.extend(self._withdraw(call, problem, now))
        return actions

    def _merge_recorded(
        self, call: _Call, record: Record | None, now: float
    ) -> list[Action]:
        if record is None and now < call.record_by:
            return [self._set_timer(call, "call-retry", now + RECORD_RETRY)]
        fields = {"request": call.request, "record": call.identity}
        if record is None:
            actions: list[Action] = [LogDecision("outcome_not_recorded", fields)]
            actions.extend(self._answer_unrecorded(call))
            actions.extend(self._forget(call))
            return actions
        state = type(record.state).__name__
        actions = [LogDecision("outcome_recorded", {**fields, "state": state})]
        if call.answered:
            actions.extend(self._forget(call))
            return actions
        actions.extend(self._answer_recorded(call, record, now))
        return actions

    def _answer_recorded(self, call: _Call, record: Record, now: float) -> list[Action]:
        """Answer the caller with what stands in the platform."""
        match record.state:
            case Finished() as outcome:
                return self._replay(call, outcome)
            case Unknown():
                return self._end(call, _describe_unknown())
            case _ if call.problem is not None:
                return self._end(call, call.problem)
            case Withdrawn() if call.attempt == 0:
                return self._claim(call, now)
            case Withdrawn():
                return self._end(call, _describe_unknown())
        return self._end(call, _describe_progress())

    def _replay(self, call: _Call, outcome: Finished) -> list[Action]:
        fields = {"request": call.request, "record": call.identity}
        answer = call.answer
        if answer is not None and _keeps(outcome, answer):
            actions = self._answer_own(call, answer)
        elif outcome.body is None:
            problem = OutcomeNotKept(
                f"the call ran with status {outcome.status}, but its answer was too "
                "large to keep; look its result up at the service",
                RunState.RUN,
            )
            actions = [LogDecision("resend_answered", {**fields, "kept": False})]
            actions.extend(self._fail(call, problem))
        else:
            call.answered = True
            actions = [LogDecision("resend_answered", {**fields, "kept": True})]
            actions.append(
                AnswerService(
                    call.request,
                    outcome.status,
                    outcome.content_type,
                    outcome.body,
                    replayed=True,
                )
            )
        actions.extend(self._forget(call))
        return actions

    def _answer_own(self, call: _Call, answer: ServiceAnswered) -> list[Action]:
        call.answered = True
        return [
            AnswerService(call.request, answer.status, answer.content_type, answer.body)
        ]

    def _answer_unrecorded(self, call: _Call) -> list[Action]:
        """Answer with what this node knows; recording goes on."""
        if call.answered:
            return []
        if call.answer is not None:
            return self._answer_own(call, call.answer)
        if call.problem is not None:
            return self._fail(call, call.problem)
        if call.writer == call.request:
            return self._fail(call, _describe_unknown())
        return self._fail(call, _describe_progress())

    def _fail(self, call: _Call, problem: Problem) -> list[Action]:
        call.answered = True
        fields = {
            "request": call.request,
            "record": call.identity,
            "kind": problem.kind,
            "run_state": problem.run_state.value,
        }
        return [LogDecision("call_failed", fields), FailAnswer(call.request, problem)]

    def _end(self, call: _Call, problem: Problem) -> list[Action]:
        actions = self._fail(call, problem)
        actions.extend(self._forget(call))
        return actions

    def _forget(self, call: _Call) -> list[Action]:
        self._calls.pop(call.request, None)
        return [ClearTimer(timer) for timer in sorted(call.timers)]

    def _set_timer(self, call: _Call, kind: str, at: float) -> Action:
        timer = f"{kind}:{call.request}"
        call.timers.add(timer)
        return SetTimer(timer, at)


def _keep_outcome(status: int, content_type: str, body: bytes) -> Finished:
    kept = body if len(body) <= MAX_KEPT_BODY else None
    return Finished(status, content_type, kept)


def _keeps(outcome: Finished, answer: ServiceAnswered) -> bool:
    own = _keep_outcome(answer.status, answer.content_type, answer.body)
    return own == outcome


def _describe_late() -> Problem:
    return PlatformUnavailable(
        "the call was not sent, as its record was written too late; "
        "send it again with the same key",
        RunState.NOT_RUN,
        RETRY_AFTER,
    )


def _describe_unknown() -> Problem:
    return OutcomeUnknown(
        "the call may have run and is never sent again under this key; "
        "look up its outcome before sending another",
        RunState.UNKNOWN,
    )


def _describe_progress() -> Problem:
    return KeyInProgress(
        "a call with this key has not ended; send it again later with this key",
        RunState.UNKNOWN,
        RETRY_AFTER,
    )
