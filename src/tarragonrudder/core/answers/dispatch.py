"""Starts, moves and stops the attempts of answers."""

from tarragonrudder.core.answers.attempt import Answer, describe_attempt, make_attempt
from tarragonrudder.core.answers.quarantine import Quarantine
from tarragonrudder.core.answers.recovery import Later, Plan, Recovery
from tarragonrudder.core.answers.refusal import refuse_blocked, refuse_unreachable
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

NO_CHAIN_WAIT = 10.0  # seconds for which a chain is waited for
NO_CHAIN_PERIOD = 0.2  # seconds between looks for a chain
BUDGET_PERIOD = 0.1  # seconds between looks at the budget
MOVE_PERIOD = 3.0  # seconds between two moves off a slow chain


class Dispatcher:
    """Sends attempts to chains that are checked at that moment."""

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

    def go_on(
        self, answer: Answer, now: float, backoff: float = 0.0
    ) -> list[Action] | Problem:
        """Start the next attempt as soon as it may start, or say why not."""
        fingerprint = answer.chat.fingerprint
        if self._quarantine.check(fingerprint, now) > 0:
            return self.describe_block(answer, now)
        delay = max(backoff, self._quarantine.measure_delay(fingerprint, now))
        if delay > 0:
            return [self._retry_later(answer, delay, now)]
        plan = self._recovery.plan(answer, now)
        if isinstance(plan, Later):
            return [self._retry_later(answer, plan.delay, now)]
        if plan is None or not self._recovery.check(answer, plan.chain, now):
            return self._await_chain(answer, now)
        if not self._recovery.pay(plan, now):
            return [self._retry_later(answer, BUDGET_PERIOD, now)]
        return self._dispatch(answer, plan, now)

    def _retry_later(self, answer: Answer, delay: float, now: float) -> Action:
        return SetTimer(f"answer-retry:{answer.request}", now + delay)

    def _await_chain(self, answer: Answer, now: float) -> list[Action] | Problem:
        """Wait for a chain where one is expected, else give up at once."""
        if answer.waits_since is None:
            answer.waits_since = now
        waited = now - answer.waits_since
        expected = answer.ran or self._recovery.is_chain_expected(answer, now)
        if expected and waited < NO_CHAIN_WAIT:
            return [self._retry_later(answer, NO_CHAIN_PERIOD, now)]
        return refuse_unreachable(answer.run_state)

    def move(self, answer: Answer, blamed: frozenset[str], now: float) -> list[Action]:
        """Leave a slow chain for another; empty if there is none or no budget."""
        if answer.chain is None or now - answer.moved_at < MOVE_PERIOD:
            return []
        plan = self._recovery.plan(answer, now, blamed)
        if not isinstance(plan, Plan) or blamed & set(plan.chain.upstreams):
            return []
        if not self._recovery.check(answer, plan.chain, now):
            return []
        if not self._recovery.pay(plan, now):
            return []
        answer.moved_at = now
        fields = {"request": answer.request, "blamed": sorted(blamed)}
        actions: list[Action] = [LogDecision("chain_slow", fields)]
        if len(blamed) == 1:
            actions.extend(self._membership.mark_slow(next(iter(blamed)), now))
        actions.extend(self.stop(answer, keep_cache=True))
        answer.end_attempt(Stalled(), None)
        actions.extend(self._dispatch(answer, plan, now))
        return actions

    def _dispatch(self, answer: Answer, plan: Plan, now: float) -> list[Action]:
        answer.start(plan.chain, now)
        reasons = self._selector.describe(plan.chain, answer.chat.fingerprint)
        self._selector.start(plan.chain)
        actions: list[Action] = [
            describe_attempt(answer, plan.chain, plan.work, reasons),
            make_attempt(answer, plan.chain),
        ]
        fingerprint = answer.chat.fingerprint
        actions.extend(self._quarantine.place(fingerprint, plan.placed, now))
        actions.append(await_token(answer, answer.pace.stall_timeout, now))
        return actions

    def describe_block(self, answer: Answer, now: float) -> Problem:
        """Return the error of an answer whose fingerprint is blocked."""
        remaining = self._quarantine.check(answer.chat.fingerprint, now)
        return refuse_blocked(remaining, answer.run_state)

    def stop(self, answer: Answer, keep_cache: bool = False) -> list[Action]:
        """Stop the running attempt, if there is one."""
        if answer.chain is None:
            return []
        self._selector.finish(answer.chain)
        return [CancelAttempt(answer.request, answer.attempt, answer.chain, keep_cache)]


def await_token(answer: Answer, timeout: float, now: float) -> SetTimer:
    """Return the timer after which a missing token is looked into."""
    return SetTimer(f"answer-stall:{answer.request}", now + timeout)
