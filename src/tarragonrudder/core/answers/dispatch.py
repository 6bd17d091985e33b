"""Starts, migrates and stops the attempts of answers."""

from tarragonrudder.core.answers.answer_errors import (
    make_no_chain_error,
    make_quarantined_error,
)
from tarragonrudder.core.answers.answer_state import (
    Answer,
    describe_attempt,
    describe_failure,
    make_attempt,
)
from tarragonrudder.core.answers.quarantine import Quarantine
from tarragonrudder.core.answers.recovery import AttemptPlan, Deferred, Recovery
from tarragonrudder.core.domain.action import (
    Action,
    CancelAttempt,
    LogDecision,
    SetTimer,
)
from tarragonrudder.core.domain.failure import Stalled
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.selection.selector import Selector
from tarragonrudder.errors import Problem

NO_CHAIN_TIMEOUT = 10.0  # seconds to wait for a chain
NO_CHAIN_RETRY_INTERVAL = 0.2  # seconds between searches for a chain
BUDGET_RETRY_INTERVAL = 0.1  # seconds between checks of the budget
MIGRATION_INTERVAL = 3.0  # minimum seconds between migrations of an answer


class Dispatcher:
    """Starts attempts on chains that it validates right before dispatch."""

    def __init__(
        self,
        membership: Membership,
        selector: Selector,
        quarantine: Quarantine,
        recovery: Recovery,
    ) -> None:
        self._membership = membership
        self._selector = selector
        self._quarantine = quarantine
        self._recovery = recovery

    def start_next_attempt(
        self, answer: Answer, now: float, backoff: float = 0.0
    ) -> list[Action] | Problem:
        """Start or schedule the next attempt, or return why it cannot start.

        A silent attempt is stopped only then: its chain and work are in hand.
        """
        fingerprint = answer.chat.fingerprint
        if self._quarantine.get_remaining_block(fingerprint, now) > 0:
            return self.make_blocked_error(answer, now)
        delay = max(backoff, self._quarantine.get_start_delay(fingerprint, now))
        if delay > 0:
            return [self._retry_later(answer, delay, now)]
        plan = self._plan(answer, now)
        if isinstance(plan, Deferred):
            return [self._retry_later(answer, plan.delay, now)]
        if plan is None or not self._recovery.check(answer, plan.chain, now):
            return self._await_chain(answer, now)
        if not self._recovery.withdraw_work(plan, now):
            return [self._retry_later(answer, BUDGET_RETRY_INTERVAL, now)]
        return self._leave_silent(answer) + self._dispatch(answer, plan, now)

    def _plan(self, answer: Answer, now: float) -> AttemptPlan | Deferred | None:
        if answer.chain is None or answer.silent_stage is None:
            return self._recovery.plan(answer, now)
        # The silent attempt must not compete with its replacement for its own stages.
        self._selector.finish(answer.chain)
        plan = self._recovery.plan(answer, now, frozenset({answer.silent_stage}))
        self._selector.start(answer.chain)
        return plan

    def _leave_silent(self, answer: Answer) -> list[Action]:
        """Stop a silent attempt that is to be replaced, if there is one."""
        stage = answer.silent_stage
        if stage is None:
            return []
        actions: list[Action] = [describe_failure(answer, Stalled(), stage)]
        actions.extend(self.stop(answer, keep_cache=True))
        answer.end_attempt(Stalled(), stage)
        return actions

    def _retry_later(self, answer: Answer, delay: float, now: float) -> Action:
        return SetTimer(f"answer-retry:{answer.request}", now + delay)

    def _await_chain(self, answer: Answer, now: float) -> list[Action] | Problem:
        """Wait for a chain if one is expected, else fail at once."""
        if answer.waiting_since is None:
            answer.waiting_since = now
        waited = now - answer.waiting_since
        # The stage of a silent attempt may go on.
        expected = answer.ran or answer.chain is not None
        expected = expected or self._recovery.is_chain_expected(answer, now)
        if expected and waited < NO_CHAIN_TIMEOUT:
            return [self._retry_later(answer, NO_CHAIN_RETRY_INTERVAL, now)]
        return make_no_chain_error(answer.run_state)

    def migrate(
        self, answer: Answer, culprits: frozenset[str], now: float
    ) -> list[Action]:
        """Migrate off a slow chain; empty if there is no other chain or no budget."""
        if answer.chain is None or now - answer.migrated_at < MIGRATION_INTERVAL:
            return []
        plan = self._recovery.plan(answer, now, culprits)
        if not isinstance(plan, AttemptPlan) or culprits & set(plan.chain.upstreams):
            return []
        if not self._recovery.check(answer, plan.chain, now):
            return []
        if not self._recovery.withdraw_work(plan, now):
            return []
        answer.migrated_at = now
        fields = {"request": answer.request, "blamed": sorted(culprits)}
        actions: list[Action] = [LogDecision("chain_slow", fields)]
        if len(culprits) == 1:
            actions.extend(self._membership.mark_slow(next(iter(culprits)), now))
        actions.extend(self.stop(answer, keep_cache=True))
        answer.end_attempt(Stalled(), None)
        actions.extend(self._dispatch(answer, plan, now))
        return actions

    def _dispatch(self, answer: Answer, plan: AttemptPlan, now: float) -> list[Action]:
        answer.start(plan.chain, now)
        reasons = self._selector.describe(plan.chain, answer.chat.fingerprint)
        self._selector.start(plan.chain)
        actions: list[Action] = [
            describe_attempt(answer, plan.chain, plan.work, reasons),
            make_attempt(answer, plan.chain),
        ]
        fingerprint = answer.chat.fingerprint
        actions.extend(
            self._quarantine.record_placement(fingerprint, plan.new_stages, now)
        )
        actions.append(await_token(answer, answer.token_gaps.stall_timeout, now))
        return actions

    def make_blocked_error(self, answer: Answer, now: float) -> Problem:
        """Return the error of an answer whose fingerprint is blocked."""
        remaining = self._quarantine.get_remaining_block(answer.chat.fingerprint, now)
        return make_quarantined_error(remaining, answer.run_state)

    def stop(self, answer: Answer, keep_cache: bool = False) -> list[Action]:
        """Stop the running attempt, if there is one."""
        if answer.chain is None:
            return []
        self._selector.finish(answer.chain)
        return [CancelAttempt(answer.request, answer.attempt, answer.chain, keep_cache)]


def await_token(answer: Answer, timeout: float, now: float) -> SetTimer:
    """Return the stall timer for an answer's next token."""
    return SetTimer(f"answer-stall:{answer.request}", now + timeout)
