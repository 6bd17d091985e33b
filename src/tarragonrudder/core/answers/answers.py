"""Lifecycle of model answers, from the first attempt to the end."""

from tarragonrudder.core.admission.admission import Ticket
from tarragonrudder.core.admission.retry_budget import WorkBudget
from tarragonrudder.core.answers.answer_errors import (
    make_deadline_error,
    make_rejected_error,
)
from tarragonrudder.core.answers.answer_state import Answer
from tarragonrudder.core.answers.diagnosis import (
    PROBE_TIMEOUT,
    Diagnosis,
    DiagnosisResult,
)
from tarragonrudder.core.answers.dispatch import Dispatcher, await_token
from tarragonrudder.core.answers.hop_progress import HopProgress
from tarragonrudder.core.answers.quarantine import CLEARING_TOKENS, Quarantine
from tarragonrudder.core.answers.recovery import Recovery
from tarragonrudder.core.answers.reorder_buffer import ReorderBuffer, TokenProtocolError
from tarragonrudder.core.answers.token_gaps import (
    MIN_GAPS,
    SLOW_FACTOR,
    TokenGapTracker,
)
from tarragonrudder.core.domain.action import (
    Action,
    ClearTimer,
    EmitTokens,
    EndAnswer,
    FailAnswer,
    SetTimer,
)
from tarragonrudder.core.domain.event import (
    AttemptEnded,
    AttemptFailed,
    ChatRequested,
    TokensArrived,
    UpstreamProbed,
)
from tarragonrudder.core.domain.failure import Crashed, Failure, Malformed, Stalled
from tarragonrudder.core.domain.fleet import Engine
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.selection.selector import Selector
from tarragonrudder.errors import Problem

END_TIMEOUT = 0.3  # seconds to wait for tokens that the terminator overtook
PROBE_GRACE = 0.2  # seconds added to the probe timeout for its result to arrive
FIRST_TOKEN_TIMEOUT = 2.0  # seconds without a first token before leaving a live chain
MIN_SILENCE = 0.3  # seconds without a token before leaving a dead stage
CHAIN_TRANSIT_TIME = 0.15  # seconds that a token may take to pass a chain
MAX_REJECTIONS = 3  # upstreams whose rejection fails a request


class Answers:
    """All model answers in flight on this node."""

    def __init__(
        self,
        membership: Membership,
        selector: Selector,
        quarantine: Quarantine,
        budget: WorkBudget,
    ) -> None:
        self._membership = membership
        self._selector = selector
        self._quarantine = quarantine
        self._recovery = Recovery(membership, selector, quarantine, budget)
        self._dispatcher = Dispatcher(membership, selector, quarantine, self._recovery)
        self._diagnosis = Diagnosis()
        self._hop_progress = HopProgress()
        self._answers: dict[str, Answer] = {}
        self._ended: list[tuple[str, int]] = []

    def __len__(self) -> int:
        return len(self._answers)

    def configure(self, engines: tuple[Engine, ...]) -> None:
        """Use the engines of a new configuration."""
        self._recovery.configure(engines)

    def take_ended(self) -> list[tuple[str, int]]:
        """Return the requests ended since the last call and their token counts."""
        ended = self._ended
        self._ended = []
        return ended

    def begin(self, chat: ChatRequested, ticket: Ticket, now: float) -> list[Action]:
        """Start the first attempt of an admitted request."""
        answer = Answer(
            chat, ticket, ReorderBuffer(chat.max_tokens), TokenGapTracker(now)
        )
        self._answers[chat.request] = answer
        self._recovery.deposit_work(answer.prompt_work, now)
        actions: list[Action] = [
            SetTimer(f"answer-deadline:{chat.request}", ticket.deadline)
        ]
        actions.extend(self._start_next_attempt(answer, now))
        return actions

    def cancel(self, request: str, now: float) -> list[Action]:
        """Cancel an answer whose caller disconnected."""
        answer = self._answers.get(request)
        if answer is None:
            return []
        actions = self._stop_attempt(answer)
        actions.extend(self._forget(answer))
        return actions

    def handle_tokens(self, event: TokensArrived, now: float) -> list[Action]:
        """Emit tokens of the current attempt, each position once, in order."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        try:
            ready = answer.buffer.add(event.tokens)
        except TokenProtocolError as error:
            return self._reject(answer, str(error), now)
        if not ready:
            return []
        self._record_progress(answer, len(ready), now)
        actions: list[Action] = [EmitTokens(answer.request, ready)]
        if answer.buffer.is_complete:
            actions.extend(self._end_answer(answer, now))
            return actions
        if answer.token_gaps.is_degraded and answer.buffer.end is None:
            migration = self._migrate(answer, answer.healthy_at, now)
            if migration:
                return actions + migration
        actions.append(await_token(answer, answer.token_gaps.stall_timeout, now))
        return actions

    def handle_end(self, event: AttemptEnded, now: float) -> list[Action]:
        """End an answer once all of its tokens are emitted."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        try:
            answer.buffer.finish(event)
        except TokenProtocolError as error:
            return self._reject(answer, str(error), now)
        if answer.buffer.is_complete:
            return self._end_answer(answer, now)
        return [await_token(answer, END_TIMEOUT, now)]

    def handle_failure(self, event: AttemptFailed, now: float) -> list[Action]:
        """Retry on another chain after a failed attempt."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        if event.upstream is None or isinstance(event.failure, Stalled):
            # A stage that timed out can't tell which downstream stage is at fault.
            answer.stream_failed = True
            return self._suspect_stall(answer, now)
        return self._fail_attempt(answer, event.failure, event.upstream, now)

    def handle_probe(self, event: UpstreamProbed, now: float) -> list[Action]:
        """Handle a probe's result and abandon the stages that it shows dead."""
        actions = self._quarantine.handle_probe(event, now)
        for result in self._diagnosis.handle_probe(event, now):
            actions.extend(self._apply_diagnosis(result, now))
        return actions

    def fail_blocked(self, now: float) -> list[Action]:
        """Fail the running answers whose fingerprint was just blocked."""
        actions: list[Action] = []
        blocked = set(self._quarantine.take_blocked())
        if not blocked:
            return actions
        for answer in list(self._answers.values()):
            if self._quarantine.get_remaining_block(answer.chat.fingerprint, now) <= 0:
                continue
            actions.extend(
                self._fail_answer(
                    answer, self._dispatcher.make_blocked_error(answer, now)
                )
            )
        return actions

    def handle_timer(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of an answer."""
        kind, _, request = timer.partition(":")
        answer = self._answers.get(request)
        if answer is None:
            return []
        if kind == "answer-deadline":
            return self._fail_answer(answer, make_deadline_error(answer.run_state))
        if kind == "answer-retry":
            if answer.chain is None or answer.silent_stage is not None:
                return self._start_next_attempt(answer, now)
            return []
        return self._suspect_stall(answer, now)

    def tick(self, now: float) -> None:
        """Drop expired state."""
        self._diagnosis.tick(now)
        self._hop_progress.tick(now)

    def _find(self, request: str, attempt: int) -> Answer | None:
        answer = self._answers.get(request)
        if answer is None or answer.attempt != attempt or answer.chain is None:
            return None
        return answer

    def _record_progress(self, answer: Answer, count: int, now: float) -> None:
        token_gaps = answer.token_gaps
        gap = (now - token_gaps.last_token_at) / count
        token_gaps.add(count, now)
        answer.ran = True
        answer.isolation_started_at = None
        if answer.silent_stage is not None:
            answer.silent_stage = answer.waiting_since = None
        answer.attempt_tokens += count
        self._diagnosis.forget(answer.request)
        self._recovery.deposit_work(count, now)
        if answer.attempt_tokens >= CLEARING_TOKENS:
            self._quarantine.clear(answer.chat.fingerprint, now)
        is_normal = (
            gap < SLOW_FACTOR * token_gaps.baseline and token_gaps.gap_count > MIN_GAPS
        )
        if is_normal and answer.chain is not None:
            answer.healthy_at = now
            self._hop_progress.record(answer.chain, now)

    def _suspect_stall(self, answer: Answer, now: float) -> list[Action]:
        if answer.chain is None:
            return []
        if answer.buffer.end is not None:
            return self._reject(answer, "tokens before the terminator are missing", now)
        result = self._diagnosis.expire(answer.request)
        if result is not None:
            return self._apply_diagnosis(result, now)
        actions, result = self._diagnosis.begin(answer.request, answer.chain, now)
        if result is not None:
            return self._apply_diagnosis(result, now)
        actions.append(await_token(answer, PROBE_TIMEOUT + PROBE_GRACE, now))
        return actions

    def _apply_diagnosis(self, result: DiagnosisResult, now: float) -> list[Action]:
        answer = self._answers.get(result.request)
        if answer is None or answer.chain is None:
            return []
        if result.dead:
            return self._abandon_dead(answer, result.dead, now)
        if answer.stream_failed:
            return self._fail_attempt(answer, Stalled(), None, now)
        waited = now - answer.started_at
        if answer.attempt_tokens or waited >= FIRST_TOKEN_TIMEOUT:
            # Tokens that passed a stage before the stall may reach this node after it.
            since = answer.token_gaps.last_token_at + CHAIN_TRANSIT_TIME
            migration = self._migrate(answer, since, now)
            if migration:
                return migration
        timeout = max(answer.token_gaps.stall_timeout, FIRST_TOKEN_TIMEOUT - waited)
        return [await_token(answer, timeout, now)]

    def _abandon_dead(
        self, diagnosed: Answer, dead: frozenset[str], now: float
    ) -> list[Action]:
        """Replace the attempts of all silent answers whose chain has a dead stage.

        Load pattern: a sound stage is silent for a second under many answers, and
        there are chains or budget for only some of them. An attempt stays open until
        its replacement is paid for, and goes on if its stage does.
        """
        actions: list[Action] = []
        for stage in sorted(dead):
            actions.extend(self._membership.mark_failed(stage, now))
        for answer in list(self._answers.values()):
            if answer.chain is None or not dead & set(answer.chain.upstreams):
                continue
            if (
                answer is not diagnosed
                and now - answer.token_gaps.last_token_at < MIN_SILENCE
            ):
                continue
            upstream = next(stage for stage in answer.chain.upstreams if stage in dead)
            if answer.stream_failed:
                actions.extend(self._fail_attempt(answer, Stalled(), upstream, now))
                continue
            if answer.silent_stage is not None:
                continue  # its retry timer is set
            answer.silent_stage = upstream
            self._diagnosis.forget(answer.request)
            actions.append(ClearTimer(f"answer-stall:{answer.request}"))
            actions.extend(self._start_next_attempt(answer, now, answer.backoff))
        return actions

    def _reject(self, answer: Answer, detail: str, now: float) -> list[Action]:
        if answer.chain is None:
            return []
        head = answer.chain.upstreams[0]
        return self._fail_attempt(answer, Malformed(detail), head, now)

    def _fail_attempt(
        self, answer: Answer, failure: Failure, upstream: str | None, now: float
    ) -> list[Action]:
        actions = self._recovery.record_failure(answer, failure, upstream, now)
        if isinstance(failure, Crashed) and answer.chain is not None:
            # A crash and a lost connection look alike; a probe tells them apart.
            for hop in answer.chain.hops:
                if hop.upstream == upstream:
                    actions.extend(self._diagnosis.probe(hop, now))
        actions.extend(self._stop_attempt(answer, keep_cache=True))
        answer.end_attempt(failure, upstream)
        actions.append(ClearTimer(f"answer-stall:{answer.request}"))
        if len(answer.rejected) >= MAX_REJECTIONS and not answer.ran:
            actions.extend(
                self._fail_answer(answer, make_rejected_error(answer.run_state))
            )
            return actions
        actions.extend(self._start_next_attempt(answer, now, answer.backoff))
        return actions

    def _start_next_attempt(
        self, answer: Answer, now: float, backoff: float = 0.0
    ) -> list[Action]:
        """Start or schedule the next attempt, or fail the answer."""
        outcome = self._dispatcher.start_next_attempt(answer, now, backoff)
        if isinstance(outcome, Problem):
            return self._fail_answer(answer, outcome)
        if answer.silent_stage is None:
            self._diagnosis.forget(answer.request)  # of a replaced attempt
        return outcome

    def _migrate(self, answer: Answer, since: float, now: float) -> list[Action]:
        """Migrate off a slow chain; empty if there is no other chain or no budget."""
        if answer.chain is None:
            return []
        culprits = self._hop_progress.find_slow_stages(answer.chain, since)
        if not culprits and not answer.attempt_tokens:
            return []  # other answers progress there, so this one waits in a queue
        self._diagnosis.forget(answer.request)
        culprits = culprits or frozenset(answer.chain.upstreams)
        return self._dispatcher.migrate(answer, culprits, now)

    def _stop_attempt(self, answer: Answer, keep_cache: bool = False) -> list[Action]:
        self._diagnosis.forget(answer.request)
        return self._dispatcher.stop(answer, keep_cache)

    def _end_answer(self, answer: Answer, now: float) -> list[Action]:
        end = answer.buffer.end
        if end is None or answer.chain is None:
            raise RuntimeError("answer ended before its terminator arrived")
        self._selector.finish(answer.chain)
        self._quarantine.clear(answer.chat.fingerprint, now)
        actions: list[Action] = [
            EndAnswer(answer.request, end.finish_reason, end.length, end.prompt_tokens)
        ]
        actions.extend(self._forget(answer))
        return actions

    def _fail_answer(self, answer: Answer, problem: Problem) -> list[Action]:
        actions = self._stop_attempt(answer)
        actions.append(FailAnswer(answer.request, problem))
        actions.extend(self._forget(answer))
        return actions

    def _forget(self, answer: Answer) -> list[Action]:
        request = answer.request
        del self._answers[request]
        self._diagnosis.forget(request)
        self._ended.append((request, len(answer.buffer.emitted)))
        return [
            ClearTimer(f"answer-deadline:{request}"),
            ClearTimer(f"answer-stall:{request}"),
            ClearTimer(f"answer-retry:{request}"),
        ]
