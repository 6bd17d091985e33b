"""Life of one model answer, from its first attempt to its end."""

from tarragonrudder.core.admission.admission import Ticket
from tarragonrudder.core.admission.budget import WorkBudget
from tarragonrudder.core.answers.assembly import Assembly, TokenFault
from tarragonrudder.core.answers.attempt import Answer
from tarragonrudder.core.answers.diagnosis import PROBE_TIMEOUT, Diagnosis, Finding
from tarragonrudder.core.answers.dispatch import Dispatcher, await_token
from tarragonrudder.core.answers.pace import MIN_GAPS, SLOW_FACTOR, Pace
from tarragonrudder.core.answers.passage import Passages
from tarragonrudder.core.answers.quarantine import CLEARING_TOKENS, Quarantine
from tarragonrudder.core.answers.recovery import Recovery
from tarragonrudder.core.answers.refusal import (
    refuse_late,
    refuse_rejected,
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

END_TIMEOUT = 0.3  # seconds for tokens that come after their terminator
PROBE_GRACE = 0.2  # seconds that a probe's result may be late
FIRST_TOKEN_TIMEOUT = 2.0  # seconds before a live chain without a token is left
SILENT_PERIOD = 0.3  # seconds without a token before a dead stage is left
CROSSING_TIME = 0.15  # seconds that a token may take through a chain
MAX_REJECTIONS = 3  # upstreams that may reject a request


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
        self._passages = Passages()
        self._answers: dict[str, Answer] = {}
        self._ended: list[tuple[str, int]] = []

    def __len__(self) -> int:
        return len(self._answers)

    def configure(self, engines: tuple[Engine, ...]) -> None:
        """Take the engines of a new configuration into use."""
        self._recovery.configure(engines)

    def take_ended(self) -> list[tuple[str, int]]:
        """Return requests that ended since the last call, with their tokens."""
        ended = self._ended
        self._ended = []
        return ended

    def begin(self, chat: ChatRequested, ticket: Ticket, now: float) -> list[Action]:
        """Start the first attempt of an admitted request."""
        answer = Answer(chat, ticket, Assembly(chat.max_tokens), Pace(now))
        self._answers[chat.request] = answer
        self._recovery.count_load(answer.prompt_work, now)
        actions: list[Action] = [
            SetTimer(f"answer-deadline:{chat.request}", ticket.deadline)
        ]
        actions.extend(self._go_on(answer, now))
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
        try:
            ready = answer.assembly.add(event.tokens)
        except TokenFault as error:
            return self._reject(answer, str(error), now)
        if not ready:
            return []
        self._note_progress(answer, len(ready), now)
        actions: list[Action] = [EmitTokens(answer.request, ready)]
        if answer.assembly.is_whole:
            actions.extend(self._end(answer, now))
            return actions
        if answer.pace.is_degraded and answer.assembly.end is None:
            moved = self._move(answer, answer.healthy_at, now)
            if moved:
                return actions + moved
        actions.append(await_token(answer, answer.pace.stall_timeout, now))
        return actions

    def merge_end(self, event: AttemptEnded, now: float) -> list[Action]:
        """End an answer once all of its tokens are emitted."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        try:
            answer.assembly.finish(event)
        except TokenFault as error:
            return self._reject(answer, str(error), now)
        if answer.assembly.is_whole:
            return self._end(answer, now)
        return [await_token(answer, END_TIMEOUT, now)]

    def merge_failure(self, event: AttemptFailed, now: float) -> list[Action]:
        """Go on with another chain after a failure."""
        answer = self._find(event.request, event.attempt)
        if answer is None:
            return []
        if event.upstream is None or isinstance(event.failure, Stalled):
            # A stage that waited can't tell which of those behind it is at fault.
            answer.broken = True
            return self._suspect_stall(answer, now)
        return self._break_off(answer, event.failure, event.upstream, now)

    def merge_probe(self, event: UpstreamProbed, now: float) -> list[Action]:
        """Take in a probe's result and leave the stages that it shows dead."""
        actions = self._quarantine.merge_probe(event, now)
        for finding in self._diagnosis.merge(event, now):
            actions.extend(self._follow_finding(finding, now))
        return actions

    def refuse_blocked(self, now: float) -> list[Action]:
        """End the running answers whose fingerprint was just blocked."""
        actions: list[Action] = []
        blocked = set(self._quarantine.take_blocked())
        if not blocked:
            return actions
        for answer in list(self._answers.values()):
            if self._quarantine.check(answer.chat.fingerprint, now) <= 0:
                continue
            actions.extend(
                self._give_up(answer, self._dispatcher.describe_block(answer, now))
            )
        return actions

    def fire(self, timer: str, now: float) -> list[Action]:
        """Handle a timer of one answer."""
        kind, _, request = timer.partition(":")
        answer = self._answers.get(request)
        if answer is None:
            return []
        if kind == "answer-deadline":
            return self._give_up(answer, refuse_late(answer.run_state))
        if kind == "answer-retry":
            return self._go_on(answer, now) if answer.chain is None else []
        return self._suspect_stall(answer, now)

    def tick(self, now: float) -> None:
        """Forget what is no longer needed."""
        self._diagnosis.tick(now)
        self._passages.tick(now)

    def _find(self, request: str, attempt: int) -> Answer | None:
        answer = self._answers.get(request)
        if answer is None or answer.attempt != attempt or answer.chain is None:
            return None
        return answer

    def _note_progress(self, answer: Answer, count: int, now: float) -> None:
        pace = answer.pace
        gap = (now - pace.last) / count
        pace.add(count, now)
        answer.ran = True
        answer.apart_since = None
        answer.fresh += count
        self._diagnosis.forget(answer.request)
        self._recovery.count_load(count, now)
        if answer.fresh >= CLEARING_TOKENS:
            self._quarantine.clear(answer.chat.fingerprint, now)
        usual = gap < SLOW_FACTOR * pace.usual and pace.gaps > MIN_GAPS
        if usual and answer.chain is not None:
            answer.healthy_at = now
            self._passages.record(answer.chain, now)

    def _suspect_stall(self, answer: Answer, now: float) -> list[Action]:
        if answer.chain is None:
            return []
        if answer.assembly.end is not None:
            return self._reject(answer, "tokens before the terminator are missing", now)
        finding = self._diagnosis.expire(answer.request)
        if finding is not None:
            return self._follow_finding(finding, now)
        actions, finding = self._diagnosis.begin(answer.request, answer.chain, now)
        if finding is not None:
            return self._follow_finding(finding, now)
        actions.append(await_token(answer, PROBE_TIMEOUT + PROBE_GRACE, now))
        return actions

    def _follow_finding(self, finding: Finding, now: float) -> list[Action]:
        answer = self._answers.get(finding.request)
        if answer is None or answer.chain is None:
            return []
        if finding.dead:
            return self._leave_dead(answer, finding.dead, now)
        if answer.broken:
            return self._break_off(answer, Stalled(), None, now)
        waited = now - answer.started_at
        if answer.fresh or waited >= FIRST_TOKEN_TIMEOUT:
            # What crossed a stage before the stall may have come after it.
            since = answer.pace.last + CROSSING_TIME
            moved = self._move(answer, since, now)
            if moved:
                return moved
        timeout = max(answer.pace.stall_timeout, FIRST_TOKEN_TIMEOUT - waited)
        return [await_token(answer, timeout, now)]

    def _leave_dead(
        self, found: Answer, dead: frozenset[str], now: float
    ) -> list[Action]:
        """Break off all silent answers that pass a dead stage."""
        actions: list[Action] = []
        for name in sorted(dead):
            actions.extend(self._membership.mark_failed(name, now))
        for answer in list(self._answers.values()):
            if answer.chain is None or not dead & set(answer.chain.upstreams):
                continue
            if answer is not found and now - answer.pace.last < SILENT_PERIOD:
                continue
            upstream = next(n for n in answer.chain.upstreams if n in dead)
            actions.extend(self._break_off(answer, Stalled(), upstream, now))
        return actions

    def _reject(self, answer: Answer, detail: str, now: float) -> list[Action]:
        if answer.chain is None:
            return []
        head = answer.chain.upstreams[0]
        return self._break_off(answer, Malformed(detail), head, now)

    def _break_off(
        self, answer: Answer, failure: Failure, upstream: str | None, now: float
    ) -> list[Action]:
        actions = self._recovery.note_failure(answer, failure, upstream, now)
        if isinstance(failure, Crashed) and answer.chain is not None:
            # A stream breaks by a crash or by a cut connection.
            for hop in answer.chain.hops:
                if hop.upstream == upstream:
                    actions.extend(self._diagnosis.probe(hop, now))
        actions.extend(self._stop_attempt(answer, keep_cache=True))
        answer.end_attempt(failure, upstream)
        actions.append(ClearTimer(f"answer-stall:{answer.request}"))
        if len(answer.rejected) >= MAX_REJECTIONS and not answer.ran:
            actions.extend(self._give_up(answer, refuse_rejected(answer.run_state)))
            return actions
        actions.extend(self._go_on(answer, now, answer.backoff))
        return actions

    def _go_on(self, answer: Answer, now: float, backoff: float = 0.0) -> list[Action]:
        """Start the next attempt as soon as it may start, or give up."""
        outcome = self._dispatcher.go_on(answer, now, backoff)
        if isinstance(outcome, Problem):
            return self._give_up(answer, outcome)
        return outcome

    def _move(self, answer: Answer, since: float, now: float) -> list[Action]:
        """Leave a slow chain for another; empty if there is none or no budget."""
        if answer.chain is None:
            return []
        blamed = self._passages.find_blamed(answer.chain, since)
        if not blamed and not answer.fresh:
            return []  # others pass it: the answer waits in an engine's queue
        self._diagnosis.forget(answer.request)
        blamed = blamed or frozenset(answer.chain.upstreams)
        return self._dispatcher.move(answer, blamed, now)

    def _stop_attempt(self, answer: Answer, keep_cache: bool = False) -> list[Action]:
        self._diagnosis.forget(answer.request)
        return self._dispatcher.stop(answer, keep_cache)

    def _end(self, answer: Answer, now: float) -> list[Action]:
        end = answer.assembly.end
        if end is None or answer.chain is None:
            raise RuntimeError("an answer was ended before its terminator")
        self._selector.finish(answer.chain)
        self._quarantine.clear(answer.chat.fingerprint, now)
        actions: list[Action] = [
            EndAnswer(answer.request, end.finish_reason, end.length, end.prompt_tokens)
        ]
        actions.extend(self._forget(answer))
        return actions

    def _give_up(self, answer: Answer, problem: Problem) -> list[Action]:
        actions = self._stop_attempt(answer)
        actions.append(FailAnswer(answer.request, problem))
        actions.extend(self._forget(answer))
        return actions

    def _forget(self, answer: Answer) -> list[Action]:
        request = answer.request
        del self._answers[request]
        self._diagnosis.forget(request)
        self._ended.append((request, len(answer.assembly.emitted)))
        return [
            ClearTimer(f"answer-deadline:{request}"),
            ClearTimer(f"answer-stall:{request}"),
            ClearTimer(f"answer-retry:{request}"),
        ]
