"""What the caller of a keyed call is told."""

from tarragonrudder.core.calls.keyedcall import KeyedCall
from tarragonrudder.core.calls.record import Finished
from tarragonrudder.core.domain.action import (
    Action,
    AnswerServiceCall,
    FailAnswer,
    LogDecision,
)
from tarragonrudder.core.domain.event import ServiceAnswered
from tarragonrudder.errors import (
    KeyInProgress,
    OutcomeNotKept,
    OutcomeUnknown,
    PlatformUnavailable,
    Problem,
    RunState,
)

MAX_KEPT_BODY = 2048  # bytes of an answer that its record keeps
MAX_CONTENT_TYPE = 256  # characters
RETRY_AFTER = 1.0  # seconds
PLATFORM_RETRY_AFTER = 5.0  # seconds


def answer_finished(call: KeyedCall, outcome: Finished) -> list[Action]:
    """Answer with the recorded outcome."""
    fields = {"request": call.request, "record": call.identity}
    answer = call.answer
    if answer is not None and _keeps(outcome, answer):
        actions = _answer_own(call, answer)
    elif outcome.body is None:
        problem = OutcomeNotKept(
            f"the call ran with status {outcome.status}, but its answer was too "
            "large to keep; look its result up at the service",
            RunState.RUN,
        )
        actions = [LogDecision("resend_answered", {**fields, "kept": False})]
        actions.extend(fail_call(call, problem))
    else:
        call.answered = True
        actions = [LogDecision("resend_answered", {**fields, "kept": True})]
        actions.append(
            AnswerServiceCall(
                call.request,
                outcome.status,
                outcome.content_type,
                outcome.body,
                replayed=True,
            )
        )
    return actions


def _answer_own(call: KeyedCall, answer: ServiceAnswered) -> list[Action]:
    call.answered = True
    return [
        AnswerServiceCall(call.request, answer.status, answer.content_type, answer.body)
    ]


def answer_unrecorded(call: KeyedCall) -> list[Action]:
    """Answer with what this node knows; recording goes on."""
    if call.answered:
        return []
    if call.answer is not None:
        return _answer_own(call, call.answer)
    if call.problem is not None:
        return fail_call(call, call.problem)
    if call.writer == call.request:
        return fail_call(call, describe_unknown())
    return fail_call(call, describe_progress())


def fail_call(call: KeyedCall, problem: Problem) -> list[Action]:
    """Answer with an error."""
    call.answered = True
    fields = {
        "request": call.request,
        "record": call.identity,
        "kind": problem.kind,
        "run_state": problem.run_state.value,
    }
    return [LogDecision("call_failed", fields), FailAnswer(call.request, problem)]


def keep_outcome(status: int, content_type: str, body: bytes) -> Finished:
    """Return what a record keeps of an answer."""
    kept = body if len(body) <= MAX_KEPT_BODY else None
    return Finished(status, content_type[:MAX_CONTENT_TYPE], kept)


def _keeps(outcome: Finished, answer: ServiceAnswered) -> bool:
    own = keep_outcome(answer.status, answer.content_type, answer.body)
    return own == outcome


def describe_late() -> Problem:
    """Return the error for a claim that stood too late."""
    return PlatformUnavailable(
        "the call was not sent, as its record was written too late; "
        "send it again with the same key",
        RunState.NOT_RUN,
        RETRY_AFTER,
    )


def describe_unwritten() -> Problem:
    """Return the error for a claim that could not be written."""
    return PlatformUnavailable(
        "the call was not sent, as its record could not be written; "
        "send it again with the same key",
        RunState.NOT_RUN,
        PLATFORM_RETRY_AFTER,
    )


def describe_unknown() -> Problem:
    """Return the error for an outcome that can't be found out."""
    return OutcomeUnknown(
        "the call may have run and is never sent again under this key; "
        "look up its outcome before sending another",
        RunState.UNKNOWN,
    )


def describe_progress() -> Problem:
    """Return the error for a key whose first call has not ended."""
    return KeyInProgress(
        "a call with this key has not ended; send it again later with this key",
        RunState.UNKNOWN,
        RETRY_AFTER,
    )
