"""Actions that the core returns; the driver executes them and decides nothing."""

import math
import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.event import Token
from tarragonrudder.errors import Problem


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a request to the head of a chain.

    Attributes
    ----------
    attempt : int
        Attempt number, from 1; a higher one supersedes all lower ones.
    emitted : tuple of str
        Tokens already sent to the caller; the next one gets the position
        ``len(emitted)``.
    order : int
        Arrival time in microseconds, compared across all nodes; lower is
        earlier.
    level : int
        Priority level; lower is served first.
    """

    request: str
    attempt: int
    chain: Chain
    prompt: bytes
    options: bytes
    emitted: tuple[str, ...]
    max_tokens: int
    order: int
    level: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close an attempt's stream and cancel it on all stages.

    Attributes
    ----------
    keep_cache : bool
        Whether the stages keep its KV cache for the next attempt.
    """

    request: str
    attempt: int
    chain: Chain
    keep_cache: bool = False


@dataclass(frozen=True, slots=True)
class EmitTokens:
    """Pass tokens to the caller, in order."""

    request: str
    tokens: tuple[Token, ...]


@dataclass(frozen=True, slots=True)
class EndAnswer:
    """End the caller's stream with its final event."""

    request: str
    finish_reason: str
    completion_tokens: int
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class FailAnswer:
    """End a request immediately with a typed error."""

    request: str
    problem: Problem


@dataclass(frozen=True, slots=True)
class ProbeUpstream:
    """Ask an upstream whether it is alive."""

    upstream: str
    address: str
    timeout: float


@dataclass(frozen=True, slots=True)
class CallService:
    """Send a caller's request to a plain service, without retries.

    Attributes
    ----------
    key : str or None
        Forwarded as ``Idempotency-Key``.
    send_by : float
        Latest time at which the call may be sent.
    record : str or None
        Identity of its action record, if any.
    """

    request: str
    attempt: int
    upstream: str
    address: str
    timeout: float
    key: str | None
    send_by: float = math.inf
    record: str | None = None


@dataclass(frozen=True, slots=True)
class ReadOutcome:
    """Ask a plain service for the outcome of a call.

    Attributes
    ----------
    record : str
        Identity of the action record; answers for other records are ignored.
    """

    request: str
    upstream: str
    address: str
    path: str
    record: str
    timeout: float


@dataclass(frozen=True, slots=True)
class AnswerServiceCall:
    """Send a plain service's answer to the caller.

    Attributes
    ----------
    replayed : bool
        Whether this is the stored answer of an earlier call.
    """

    request: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class ReadKey:
    """Read one key of the platform's key-value service.

    Attributes
    ----------
    tag : str
        Returned in the event that reports the result.
    """

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class Guard:
    """Precondition of a write: a key must still have this modification revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapKey:
    """Write one key if its modification revision is still `expected`.

    Attributes
    ----------
    expected : int
        Revision that the key must have; 0 if it must not exist.
    lease : int
        Lease to attach the key to; 0 for none.
    guards : tuple of Guard
        Preconditions on other keys, checked in the same transaction.
    """

    tag: str
    key: str
    expected: int
    value: bytes
    lease: int = 0
    guards: tuple[Guard, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadConfiguration:
    """Read the contents of an accepted generation and build its configuration."""

    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class CheckFolder:
    """Read the operators' configuration folder and validate it as a whole."""

    digest: str


@dataclass(frozen=True, slots=True)
class QueryPeerGenerations:
    """Ask all known nodes which configuration generation is active there."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Acquire a lease or renew one.

    Attributes
    ----------
    lease : int
        Lease to renew; 0 to acquire a new one.
    ttl : float
        Time to live, in seconds.
    """

    tag: str
    ttl: float
    lease: int = 0


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to the node named `node`."""

    node: str
    message: t.Any


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order an engine to load the given layers of a model version.

    Attributes
    ----------
    fencing : int
        Fencing token of the planner's lease.
    first, last : int
        Layers to hold, both included.
    timeout : float
        Seconds until the order is abandoned.
    """

    tag: str
    upstream: str
    address: str
    fencing: int
    model: str
    version: str
    first: int
    last: int
    timeout: float


@dataclass(frozen=True, slots=True)
class ReadEngineState:
    """Ask an engine which model version and layers it holds."""

    upstream: str
    address: str
    timeout: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer that fires at time `at`; it replaces one of the same name."""

    timer: str
    at: float


@dataclass(frozen=True, slots=True)
class ClearTimer:
    """Cancel a timer, if it is set."""

    timer: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Log a decision as one line.

    Attributes
    ----------
    decision : str
        A stable name, such as ``chain_chosen``.
    fields : dict
        Inputs of the decision; JSON-serializable and free of secrets.
    """

    decision: str
    fields: t.Mapping[str, t.Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add `amount` to a statsd counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class StopNode:
    """Exit the process, as all work has ended."""


Action: t.TypeAlias = (
    StartAttempt
    | CancelAttempt
    | EmitTokens
    | EndAnswer
    | FailAnswer
    | ProbeUpstream
    | CallService
    | ReadOutcome
    | AnswerServiceCall
    | ReadKey
    | SwapKey
    | GrantLease
    | LoadConfiguration
    | CheckFolder
    | QueryPeerGenerations
    | SendPeerMessage
    | SendOrder
    | ReadEngineState
    | SetTimer
    | ClearTimer
    | LogDecision
    | CountMetric
    | StopNode
)
