"""What the core asks its driver to do; the driver only translates."""

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
        Counts from 1; a larger one replaces all before it.
    emitted : tuple of str
        Tokens that the caller has already; the first new one gets the
        position ``len(emitted)``.
    order : int
        Arrival order over all nodes, in microseconds; smaller came earlier.
    level : int
        Priority level; lower goes first.
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
    """Close an attempt's stream and tell its stages to drop it.

    Attributes
    ----------
    keep_cache : bool
        Whether the stages hold its KV cache for the next attempt.
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
    """End the caller's stream with its terminator."""

    request: str
    finish_reason: str
    completion_tokens: int
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class FailAnswer:
    """End a request with a typed error, at once."""

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
    """Send a caller's request to a plain service, once.

    Attributes
    ----------
    key : str or None
        Passed on as ``Idempotency-Key``.
    send_by : float
        The call must not leave later.
    record : str or None
        Identity of its action record, where there is one.
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
        Identity of the action record; an answer for another is ignored.
    """

    request: str
    upstream: str
    address: str
    path: str
    record: str
    timeout: float


@dataclass(frozen=True, slots=True)
class AnswerServiceCall:
    """Answer the caller of a plain service.

    Attributes
    ----------
    replayed : bool
        Whether this is the recorded answer of an earlier call.
    """

    request: str
    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class ReadKey:
    """Read one key."""

    tag: str
    key: str


@dataclass(frozen=True, slots=True)
class Guard:
    """A key that must still have a modification revision for a write to stand."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapKey:
    """Write one key if its modification revision is still `expected`.

    Attributes
    ----------
    expected : int
        0 if the key must not exist.
    lease : int
        Lease that the key is bound to, 0 for none.
    guards : tuple of Guard
        Other keys compared in the same transaction.
    """

    tag: str
    key: str
    expected: int
    value: bytes
    lease: int = 0
    guards: tuple[Guard, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadConfiguration:
    """Read and build the contents of an accepted generation."""

    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class CheckFolder:
    """Read the operators' folder and check it as a whole."""

    digest: str


@dataclass(frozen=True, slots=True)
class QueryPeerGenerations:
    """Ask all known nodes for the generation that they have in force."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease, or renew one.

    Attributes
    ----------
    lease : int
        0 to ask for a new one.
    """

    tag: str
    ttl: float
    lease: int = 0


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another node; `node` is its name."""

    node: str
    message: t.Any


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Order an engine to hold a desired state.

    Attributes
    ----------
    fencing : int
        Fencing number of the planner's lease.
    timeout : float
        Seconds after which the order is given up.
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
    """Ask an engine what it holds."""

    upstream: str
    address: str
    timeout: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Fire `timer` at a time; a second one of the same name replaces it."""

    timer: str
    at: float


@dataclass(frozen=True, slots=True)
class ClearTimer:
    """Forget a timer, if it is set."""

    timer: str


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one log line for a decision.

    Attributes
    ----------
    decision : str
        A stable name, such as ``chain_chosen``.
    fields : dict
        Its reasons; values that JSON can hold, never a secret.
    """

    decision: str
    fields: t.Mapping[str, t.Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add to a statsd counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class StopNode:
    """All work has ended; the process may exit."""


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
