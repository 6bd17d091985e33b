"""Responses and errors returned to the callers of keyed calls."""

from tarragonrudder.core.calls.keyed_call_state import KeyedCall
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

MAX_KEPT_BODY = 2048  # bytes; larger response bodies are not stored
MAX_CONTENT_TYPE = 256  # characters
RETRY_AFTER = 1.0  # seconds
PLATFORM_RETRY_AFTER = 5.0  # seconds


def respond_finished(call: KeyedCall, outcome: Finished) -> list[Action]:
    """Respond with the recorded outcome."""
    fields = {"request": call.request, "record": call.identity}
    response = call.response
    if response is not None and _is_own_outcome(outcome, response):
        actions = _respond_own(call, response)
    elif outcome.body is None:
        problem = OutcomeNotKept(
            f"the call ran with status {outcome.status}, but its answer was too "
            "large to keep; look its result up at the service",
            RunState.RUN,
        )
        actions = [LogDecision("resend_answered", {**fields, "kept": False})]
        actions.extend(fail_call(call, problem))
    else:
        call.responded = True
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


def _respond_own(call: KeyedCall, response: ServiceAnswered) -> list[Action]:
    call.responded = True
    return [
        AnswerServiceCall(
            call.request, response.status, response.content_type, response.body
        )
    ]


def respond_unrecorded(call: KeyedCall) -> list[Action]:
    """Respond with what this node knows while recording continues."""
    if call.responded:
        return []
    if call.response is not None:
        return _respond_own(call, call.response)
    if call.problem is not None:
        return fail_call(call, call.problem)
    if call.writer == call.request:
        return fail_call(call, make_unknown_outcome_error())
    return fail_call(call, make_in_progress_error())


def fail_call(call: KeyedCall, problem: Problem) -> list[Action]:
    """Respond with an error."""
    call.responded = True
    fields = {
        "request": call.request,
        "record": call.identity,
        "kind": problem.kind,
        "run_state": problem.run_state.value,
    }
    return [LogDecision("call_failed", fields), FailAnswer(call.request, problem)]


def make_outcome(status: int, content_type: str, body: bytes) -> Finished:
    """Return the part of a response that its record stores."""
    kept = body if len(body) <= MAX_KEPT_BODY else None
    return Finished(status, content_type[:MAX_CONTENT_TYPE], kept)


def _is_own_outcome(outcome: Finished, response: ServiceAnswered) -> bool:
    own = make_outcome(response.status, response.content_type, response.body)
    return own == outcome


def make_late_claim_error() -> Problem:
    """Return the error for a claim that was committed too late."""
    return PlatformUnavailable(
        "the call was not sent, as its record was written too late; "
        "send it again with the same key",
        RunState.NOT_RUN,
        RETRY_AFTER,
    )


def make_unwritten_claim_error() -> Problem:
    """Return the error for a claim that could not be written."""
    return PlatformUnavailable(
        "the call was not sent, as its record could not be written; "
        "send it again with the same key",
        RunState.NOT_RUN,
        PLATFORM_RETRY_AFTER,
    )


def make_unknown_outcome_error() -> Problem:
    """Return the error for an outcome that can't be determined."""
    return OutcomeUnknown(
        "the call may have run and is never sent again under this key; "
        "look up its outcome before sending another",
        RunState.UNKNOWN,
    )


def make_in_progress_error() -> Problem:
    """Return the error for a key whose first call is still in progress."""
    return KeyInProgress(
        "a call with this key has not ended; send it again later with this key",
        RunState.UNKNOWN,
        RETRY_AFTER,
    )
