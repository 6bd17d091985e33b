"""State of one answer over its attempts."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.admission.admission import Ticket
from tarragonrudder.core.answers.reorder_buffer import ReorderBuffer
from tarragonrudder.core.answers.token_gaps import TokenGapTracker
from tarragonrudder.core.domain.action import LogDecision, StartAttempt
from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.event import ChatRequested
from tarragonrudder.core.domain.failure import Failure, Refused, Unreachable
from tarragonrudder.errors import RunState

PROMPT_BYTES_PER_TOKEN = 4
FIRST_BACKOFF = 0.05  # seconds
MAX_BACKOFF = 1.0  # seconds


@dataclass(slots=True)
class Answer:
    """One answer in flight.

    Attributes
    ----------
    chain : Chain or None
        Chain of the running attempt; None between attempts.
    previous : Chain or None
        Chain of the previous attempt.
    cache_holders : frozenset of str
        Stages of `previous` that may still hold their KV cache.
    rejected : set of str
        Upstreams that refused this request or sent a malformed response.
    attempt_tokens : int
        Tokens received in the running attempt.
    failures : int
        Consecutive attempts that failed without a new token.
    silent_stage : str or None
        Dead stage of the running attempt, which is silent but still open until it is
        replaced.
    stream_failed : bool
        Whether the running attempt's stream failed at an unidentified stage.
    ran : bool
        Whether any token arrived.
    in_doubt : bool
        Whether an ended attempt may have run.
    healthy_at : float
        Time at which the running attempt started or last progressed at a normal
        rate.
    migrated_at : float
        Time at which the answer last left a slow chain.
    waiting_since : float or None
        Time since which no chain has been available.
    isolation_started_at : float or None
        Time since which a suspect has waited for stages that it doesn't share
        with other suspects.
    """

    chat: ChatRequested
    ticket: Ticket
    buffer: ReorderBuffer
    token_gaps: TokenGapTracker
    attempt: int = 0
    chain: Chain | None = None
    previous: Chain | None = None
    cache_holders: frozenset[str] = frozenset()
    rejected: set[str] = field(default_factory=set)
    attempt_tokens: int = 0
    failures: int = 0
    silent_stage: str | None = None
    stream_failed: bool = False
    ran: bool = False
    in_doubt: bool = False
    started_at: float = 0.0
    healthy_at: float = 0.0
    migrated_at: float = float("-inf")
    waiting_since: float | None = None
    isolation_started_at: float | None = None

    @property
    def request(self) -> str:
        """Identifier of the request."""
        return self.chat.request

    @property
    def run_state(self) -> RunState:
        """Whether the request ran, as far as it is known."""
        if self.ran:
            return RunState.RUN
        if self.in_doubt or self.chain is not None:
            return RunState.UNKNOWN
        return RunState.NOT_RUN

    @property
    def prompt_work(self) -> float:
        """Tokens of the prompt, estimated from its size."""
        return len(self.chat.prompt) / PROMPT_BYTES_PER_TOKEN

    @property
    def backoff(self) -> float:
        """Seconds to wait before the next attempt, if the running one fails now."""
        failures = self.failures if self.chain is None else self._failures_after_this
        if failures < 2:
            return 0.0
        doublings = min(failures - 2, 10)
        return min(MAX_BACKOFF, FIRST_BACKOFF * 2**doublings)

    @property
    def _failures_after_this(self) -> int:
        return 1 if self.attempt_tokens else self.failures + 1

    def start(self, chain: Chain, now: float) -> None:
        """Begin an attempt on a chain."""
        self.attempt += 1
        self.chain = chain
        self.attempt_tokens = 0
        self.silent_stage = None
        self.stream_failed = False
        self.started_at = self.healthy_at = now
        self.waiting_since = None
        self.buffer.restart()
        self.token_gaps.restart(now)

    def end_attempt(self, failure: Failure, upstream: str | None) -> None:
        """Record that the running attempt failed."""
        if self.chain is None:
            return
        if not self._never_ran(failure, upstream):
            self.in_doubt = True
        self.previous = self.chain
        self.cache_holders = frozenset(self.chain.upstreams) - {upstream}
        self.chain = None
        self.silent_stage = None
        self.failures = self._failures_after_this

    def _never_ran(self, failure: Failure, upstream: str | None) -> bool:
        if self.chain is None or self.attempt_tokens:
            return False
        # A later stage refuses only after the head has run its layers.
        at_head = upstream == self.chain.upstreams[0]
        return at_head and isinstance(failure, Unreachable | Refused)


def make_attempt(answer: Answer, chain: Chain) -> StartAttempt:
    """Return the action that sends the current attempt to its chain."""
    chat = answer.chat
    return StartAttempt(
        chat.request,
        answer.attempt,
        chain,
        chat.prompt,
        chat.options,
        tuple(answer.buffer.emitted),
        chat.max_tokens,
        int(answer.ticket.arrived * 1e6),
        answer.ticket.priority.level,
    )


def describe_attempt(
    answer: Answer, chain: Chain, work: float, reasons: t.Mapping[str, t.Any]
) -> LogDecision:
    """Return the log line of the current attempt.

    Parameters
    ----------
    work : float
        Extra work of the attempt, in the work budget's unit.
    reasons : mapping
        Why the chain was chosen, as the selector describes it.
    """
    fields = {
        "request": answer.request,
        "attempt": answer.attempt,
        "chain": chain.describe(),
        "position": len(answer.buffer.emitted),
        "work": round(work, 1),
        **reasons,
    }
    return LogDecision("chain_chosen", fields)


def describe_failure(
    answer: Answer, failure: Failure, upstream: str | None
) -> LogDecision:
    """Return the log line of the current attempt's failure."""
    fields = {
        "request": answer.request,
        "attempt": answer.attempt,
        "failure": type(failure).__name__,
        "upstream": upstream,
    }
    return LogDecision("attempt_failed", fields)
