"""Life of one model answer, from its first attempt to its end."""

from dataclasses import dataclass, field

from tarragonrudder.core.action import (
    Action,
    CancelAttempt,
    ClearTimer,
    EmitTokens,
    EndAnswer,
    FailAnswer,
    LogDecision,
    SetTimer,
    StartAttempt,
)
from tarragonrudder.core.admission import Ticket
from tarragonrudder.core.budget import RetryBudget
from tarragonrudder.core.chain import Chain, check_chain
from tarragonrudder.core.event import (
    AttemptEnded,
    AttemptFailed,
    ChatRequested,
    Crashed,
    Failure,
    Refused,
    Stalled,
    Token,
    TokensArrived,
)
from tarragonrudder.core.fleet import Engine
from tarragonrudder.core.membership import Membership
from tarragonrudder.core.quarantine import Quarantine
from tarragonrudder.core.selection import Need, Selector
from tarragonrudder.errors import (
    DeadlineExceeded,
    NoChain,
    Problem,
    Quarantined,
    RunState,
    UpstreamFailed,
)

STALL_TIMEOUT = 1.5  # seconds without a token before an attempt is given up
NO_CHAIN_RETRY_AFTER = 5.0  # seconds


@dataclass(slots=True)
class _Answer:
    chat: ChatRequested
    ticket: Ticket
    attempt: int = 0
    chain: Chain | None = None
    emitted: list[str] = field(default_factory=list)
    pending: dict[int, str] = field(default_factory=dict)
    end: AttemptEnded | None = None
    run_state: RunState = RunState.NOT_RUN


class Answers:
    """All model answers in flight on this node."""

    def __init__(
        self,
        membership: Membership,
        selector: Selector,
        quarantine: Quarantine,
        budget: RetryBudget,
    ) -> None:
        self._membership = membership
        self._selector = selector
        self._quarantine = quarantine
        self._budget = budget
        self._engines: dict[str, Engine] = {}
        self._answers: dict[str, _Answer] = {}
        self._ended: list[tuple[str, int]] = []

    def __len__(self) -> int:
        return len(self._answers)

    def configure(self, engines: tuple[Engine, ...]) -> None:
        """Take the engines of a new configuration into use."""
        self._engines = {engine.name: engine for engine in engines}

    def take_ended(self) -> list[tuple[str, int]]:
        """Return requests that ended since the last call, with their tokens."""
        ended = self._ended
        self._ended = []
        return ended

    def begin(self, chat: ChatRequested, ticket: Ticket, now: float) -> list[Action]:
        """Start the first attempt of an admitted request."""
        answer = _Answer(chat, ticket)
        self._answers[chat.request] = answer
        self._budget.deposit()
        actions: list[Action] = [
            SetTimer(f"answer-deadline:{chat.request}", ticket.deadline)
        ]
        actions.extend(self._attempt(answer, now))
        return actions

    def cancel(self, request: str, now: float) -> list[Action]:
        """Drop an answer whose caller is gone."""
        answer = self._answers.get(request)
        if answer is None:
            return []
        actions = self._stop_attempt(answer)
        actions.extend(self._forget(answer))
        return actions

    def merge_tokens(self, event: TokensArrived, now: float) -> list[Action]:
        """Emit tokens of the current attempt, each position once, in order."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        answer.run_state = RunState.RUN
        for token in event.tokens:
            if token.position >= len(answer.emitted):
                answer.pending.setdefault(token.position, token.text)
        return self._flush(answer, now)

    def merge_end(self, event: AttemptEnded, now: float) -> list[Action]:
        """End an answer once all of its tokens are emitted."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        answer.end = event
        return self._flush(answer, now)

    def merge_failure(self, event: AttemptFailed, now: float) -> list[Action]:
        """Go on with another chain after a failure, or give up."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        actions = self._note_failure(answer, event.failure, event.upstream, now)
        actions.extend(self._stop_attempt(answer))
        if self._quarantine.check(answer.chat.fingerprint, now) > 0:
            actions.extend(self._fail(answer, self._describe_quarantine(answer, now)))
            return actions
        if not self._budget.withdraw():
            problem = UpstreamFailed(
                "upstreams failed and the retry budget is spent; send it again",
                answer.run_state,
                1.0,
            )
            actions.extend(self._fail(answer, problem))
            return actions
        actions.extend(self._attempt(answer, now))
        return actions

    def fire(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of one answer."""
        kind, _, request = timer.partition(":")
        answer = self._answers.get(request)
        if answer is None:
            return []
        if kind == "answer-deadline":
            problem = DeadlineExceeded(
                "the answer was not whole in time; send it again", answer.run_state, 1.0
            )
            actions = self._stop_attempt(answer)
            actions.extend(self._fail(answer, problem))
            return actions
        return self.merge_failure(
            AttemptFailed(request, answer.attempt, Stalled(), None), now
        )

    def _find(self, request: str, attempt: int) -> _Answer | None:
        answer = self._answers.get(request)
        if answer is None or answer.attempt != attempt or answer.chain is None:
            return None
        return answer

    def _attempt(self, answer: _Answer, now: float) -> list[Action]:
        chat = answer.chat
        need = Need(
            answer.ticket.model,
            chat.fingerprint,
            self._membership.unusable(now),
            keep=answer.chain,
        )
        chain = self._selector.choose(need, now)
        if chain is None:
            return self._fail(
                answer,
                NoChain(
                    "no live upstreams hold all layers; come back later",
                    answer.run_state,
                    NO_CHAIN_RETRY_AFTER,
                ),
            )
        check_chain(chain, answer.ticket.model, self._engines)
        answer.attempt += 1
        answer.chain = chain
        answer.end = None
        answer.pending.clear()
        answer.run_state = RunState.UNKNOWN
        self._selector.start(chain)
        fields = {
            "request": chat.request,
            "attempt": answer.attempt,
            "chain": chain.describe(),
            "position": len(answer.emitted),
        }
        return [
            LogDecision("chain_chosen", fields),
            StartAttempt(
                chat.request,
                answer.attempt,
                chain,
                chat.prompt,
                chat.options,
                tuple(answer.emitted),
                chat.max_tokens,
                int(answer.ticket.arrived * 1e6),
                answer.ticket.priority.level,
            ),
            SetTimer(f"answer-stall:{chat.request}", now + STALL_TIMEOUT),
        ]

    def _flush(self, answer: _Answer, now: float) -> list[Action]:
        actions: list[Action] = []
        tokens = []
        while len(answer.emitted) in answer.pending:
            position = len(answer.emitted)
            text = answer.pending.pop(position)
            answer.emitted.append(text)
            tokens.append(Token(position, text))
        request = answer.chat.request
        if tokens:
            actions.append(EmitTokens(request, tuple(tokens)))
        end = answer.end
        if end is None or len(answer.emitted) < end.length:
            if tokens:
                timer = f"answer-stall:{request}"
                actions.append(SetTimer(timer, now + STALL_TIMEOUT))
            return actions
        actions.append(
            EndAnswer(
                request, end.finish_reason, len(answer.emitted), end.prompt_tokens
            )
        )
        if answer.chain is not None:
            self._selector.finish(answer.chain)
        actions.extend(self._forget(answer))
        return actions

    def _note_failure(
        self, answer: _Answer, failure: Failure, upstream: str | None, now: float
    ) -> list[Action]:
        fields = {
            "request": answer.chat.request,
            "attempt": answer.attempt,
            "failure": type(failure).__name__,
            "upstream": upstream,
        }
        actions: list[Action] = [LogDecision("attempt_failed", fields)]
        if upstream is None:
            return actions
        match failure:
            case Refused(leaving=True):
                actions.extend(self._membership.mark_leaving(upstream, now))
            case Crashed():
                actions.extend(self._membership.mark_failed(upstream, now))
                actions.extend(
                    self._quarantine.record_crash(
                        answer.chat.fingerprint, self._membership.peers, now
                    )
                )
            case _:
                actions.extend(self._membership.mark_failed(upstream, now))
        return actions

    def _describe_quarantine(self, answer: _Answer, now: float) -> Problem:
        remaining = self._quarantine.check(answer.chat.fingerprint, now)
        return Quarantined(
            "this request crashed upstreams; change it or wait",
            answer.run_state,
            remaining,
        )

    def _stop_attempt(self, answer: _Answer) -> list[Action]:
        if answer.chain is None:
            return []
        self._selector.finish(answer.chain)
        return [CancelAttempt(answer.chat.request, answer.attempt, answer.chain)]

    def _fail(self, answer: _Answer, problem: Problem) -> list[Action]:
        actions: list[Action] = [FailAnswer(answer.chat.request, problem)]
        actions.extend(self._forget(answer))
        return actions

    def _forget(self, answer: _Answer) -> list[Action]:
        request = answer.chat.request
        del self._answers[request]
        self._ended.append((request, len(answer.emitted)))
        return [
            ClearTimer(f"answer-deadline:{request}"),
            ClearTimer(f"answer-stall:{request}"),
        ]
