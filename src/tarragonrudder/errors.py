"""Typed errors of the router; each message says how to fix the problem."""

import enum
import typing as t
from dataclasses import dataclass


class RunState(enum.Enum):
    """Whether an upstream executed the request that failed."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """Base of all errors that are returned to a caller or an operator.

    Attributes
    ----------
    message : str
        What happened and what to do about it.
    run_state : RunState
        Whether an upstream executed the request.
    retry_after : float or None
        Seconds to wait before a retry; None if a retry makes no sense.
    """

    status: t.ClassVar[int] = 500
    kind: t.ClassVar[str] = "internal_error"

    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None


class Unauthorized(Problem):
    """The API key is missing or unknown."""

    status = 401
    kind = "invalid_api_key"


class InvalidRequest(Problem):
    """The request is malformed or exceeds a limit."""

    status = 400
    kind = "invalid_request_error"


class RequestTooLarge(Problem):
    """The body or a header is larger than the node accepts."""

    status = 413
    kind = "request_too_large"


class NotFound(Problem):
    """The model, service or path does not exist."""

    status = 404
    kind = "not_found"


class KeyConflict(Problem):
    """An idempotency key was reused with a different request."""

    status = 422
    kind = "idempotency_key_conflict"


class KeyInProgress(Problem):
    """A call with the same idempotency key is still in progress."""

    status = 409
    kind = "idempotency_key_in_progress"


class RateLimited(Problem):
    """The client account is over its limit."""

    status = 429
    kind = "rate_limit_exceeded"


class Overloaded(Problem):
    """The request could not be answered on time."""

    status = 503
    kind = "overloaded"


class Stopping(Problem):
    """The node is shutting down and takes no new work."""

    status = 503
    kind = "stopping"


class NoChain(Problem):
    """No chain of live upstreams covers all layers of the model."""

    status = 503
    kind = "no_chain"


class Quarantined(Problem):
    """The request has crashed upstreams and is refused for a period."""

    status = 422
    kind = "request_quarantined"


class PlatformUnavailable(Problem):
    """The platform's key-value service does not answer."""

    status = 503
    kind = "platform_unavailable"


class UpstreamFailed(Problem):
    """The upstreams failed and no further retry is possible."""

    status = 502
    kind = "upstream_failed"


class DeadlineExceeded(Problem):
    """The answer was not complete before its deadline."""

    status = 504
    kind = "deadline_exceeded"


class OutcomeUnknown(Problem):
    """A non-idempotent call may have run, so it is never retried."""

    status = 502
    kind = "outcome_unknown"


class OutcomeNotKept(Problem):
    """A non-idempotent call ran, but its answer was too large to store."""

    status = 409
    kind = "outcome_not_kept"


class RouterError(Exception):
    """Base of all exceptions raised by this package."""


class SettingsError(RouterError):
    """A settings file is invalid; the message names file, line and fix."""


class FolderError(RouterError):
    """A configuration folder is invalid.

    Attributes
    ----------
    findings : tuple of str
        One line for each fault: file, line, what is wrong and how to fix it.
    """

    def __init__(self, findings: t.Sequence[str]) -> None:
        super().__init__("\n".join(findings))
        self.findings = tuple(findings)


class RecordError(RouterError):
    """A value stored in the platform does not have the format written by the router."""


class FolderConflictError(RouterError):
    """Another operator changed the configuration folder concurrently."""


class PieceError(RouterError):
    """A piece of a folder's contents is missing or does not match its digest."""


class ChainError(RouterError):
    """A chain does not run every layer of its model exactly once, in order."""


class PeerError(RouterError):
    """A peer did not answer, or its message is invalid or not authentic."""
