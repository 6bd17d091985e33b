"""Choice of the chain on which an answer starts or resumes."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.admission.retry_budget import WorkBudget
from tarragonrudder.core.answers.answer_state import Answer, describe_failure
from tarragonrudder.core.answers.quarantine import Quarantine
from tarragonrudder.core.domain.action import Action
from tarragonrudder.core.domain.chain import (
    Chain,
    KeptCache,
    assign_caches,
    check_chain,
    count_replayed_layers,
)
from tarragonrudder.core.domain.failure import (
    Crashed,
    Failure,
    Malformed,
    Refused,
    Stalled,
    Unreachable,
)
from tarragonrudder.core.domain.fleet import Engine
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.selection.selector import ChainRequirements, Selector
from tarragonrudder.errors import ChainError

LOST_TOKENS = 1  # tokens in transit that a crash may lose
ISOLATION_TIMEOUT = 0.75  # seconds for which a suspect waits for unshared stages
OWN_SHARE_PERIOD = 0.55  # seconds for which a suspect uses only its node's share
ISOLATION_RETRY_INTERVAL = 0.03  # seconds between searches for unshared stages


@dataclass(frozen=True, slots=True)
class Deferred:
    """No unshared stages are free for a suspect; retry after `delay` seconds."""

    delay: float


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """A chain for the next attempt.

    Attributes
    ----------
    work : float
        Extra work of the attempt, in the work budget's unit.
    new_stages : frozenset of str
        Stages that do not resume from a KV cache that they kept.
    """

    chain: Chain
    work: float
    new_stages: frozenset[str]


class Recovery:
    """Plans attempts within the work budget."""

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
        self._budget = budget
        self._engines: dict[str, Engine] = {}

    def configure(self, engines: tuple[Engine, ...]) -> None:
        """Use the engines of a new configuration."""
        self._engines = {engine.name: engine for engine in engines}

    def plan(
        self, answer: Answer, now: float, culprits: frozenset[str] = frozenset()
    ) -> AttemptPlan | Deferred | None:
        """Return a chain for the next attempt, or None if there is none."""
        previous = answer.chain or answer.previous
        cache_holders = answer.cache_holders
        if answer.chain is not None:
            cache_holders = frozenset(answer.chain.upstreams) - culprits
        if self._quarantine.requires_new_chain(answer.chat.fingerprint):
            previous, cache_holders = None, frozenset()
        requirements = ChainRequirements(
            answer.ticket.model,
            answer.chat.fingerprint,
            self._membership.list_unusable(now) | answer.rejected,
            culprits | self._membership.list_slow(now),
            previous,
        )
        excluded = self._find_excluded(answer, cache_holders, now)
        chain = self._choose(
            replace(requirements, excluded=requirements.excluded | excluded), now
        )
        if chain is None and excluded:
            if now - (answer.isolation_started_at or now) < ISOLATION_TIMEOUT:
                return Deferred(ISOLATION_RETRY_INTERVAL)
            chain = self._choose(requirements, now)
        if chain is None:
            return None
        emitted = len(answer.buffer.emitted)
        chain = assign_caches(chain, previous, answer.attempt, emitted, cache_holders)
        return AttemptPlan(
            chain, self._estimate_work(answer, chain), _find_new_stages(chain)
        )

    def check(self, answer: Answer, chain: Chain, now: float) -> bool:
        """Return whether a chain is still valid right before its dispatch."""
        if self._membership.list_unusable(now) & set(chain.upstreams):
            return False
        try:
            check_chain(chain, answer.ticket.model, self._engines)
        except ChainError:
            return False
        return True

    def withdraw_work(self, plan: AttemptPlan, now: float) -> bool:
        """Withdraw a plan's work from the budget; return False if it is exhausted."""
        return plan.work == 0.0 or self._budget.withdraw(plan.work, now)

    def deposit_work(self, work: float, now: float) -> None:
        """Credit the budget with the work of a first attempt."""
        self._budget.deposit(work, now)

    def is_chain_expected(self, answer: Answer, now: float) -> bool:
        """Return whether there would be a chain if failed upstreams recovered."""
        leaving = self._membership.list_leaving(now)
        requirements = ChainRequirements(
            answer.ticket.model, answer.chat.fingerprint, leaving
        )
        return self._selector.choose(requirements, now) is not None

    def record_failure(
        self, answer: Answer, failure: Failure, upstream: str | None, now: float
    ) -> list[Action]:
        """Update the state of an upstream after a failed attempt."""
        actions: list[Action] = [describe_failure(answer, failure, upstream)]
        if upstream is None:
            return actions
        match failure:
            case Refused(leaving=True):
                actions.extend(self._membership.mark_leaving(upstream, now))
            case Refused() | Malformed():
                # The request may be at fault: other requests may still run there.
                answer.rejected.add(upstream)
            case Crashed():
                actions.extend(self._membership.mark_failed(upstream, now))
                fingerprint = answer.chat.fingerprint
                # A token may have been lost between its stage and this node.
                strong = answer.attempt_tokens == 0 or (
                    answer.attempt > 1 and answer.attempt_tokens <= LOST_TOKENS
                )
                actions.extend(
                    self._quarantine.record_crash(fingerprint, upstream, strong, now)
                )
            case Unreachable() | Stalled():
                actions.extend(self._membership.mark_failed(upstream, now))
        return actions

    def _choose(self, requirements: ChainRequirements, now: float) -> Chain | None:
        """Choose a chain, without the avoided upstreams if possible."""
        if requirements.avoided:
            strict = replace(
                requirements, excluded=requirements.excluded | requirements.avoided
            )
            chain = self._selector.choose(strict, now)
            if chain is not None:
                return chain
        return self._selector.choose(requirements, now)

    def _find_excluded(
        self, answer: Answer, cache_holders: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the upstreams that a suspect must not be sent to."""
        fingerprint = answer.chat.fingerprint
        if not self._quarantine.is_suspect(fingerprint):
            return frozenset()
        if self._quarantine.is_infrastructure_failure(now):
            return frozenset()
        if answer.isolation_started_at is None:
            answer.isolation_started_at = now
        excluded = self._quarantine.find_occupied(fingerprint, now)
        if now - answer.isolation_started_at < OWN_SHARE_PERIOD:
            # Peers' placements may not have arrived yet: use only the share of
            # upstreams that no other node uses for its suspects.
            excluded |= self._membership.find_engines_of_peers()
        # These stages have already run the request without a crash.
        return excluded - cache_holders

    def _estimate_work(self, answer: Answer, chain: Chain) -> float:
        if answer.attempt == 0 or not (answer.in_doubt or answer.chain is not None):
            return 0.0
        tokens = answer.prompt_work + len(answer.buffer.emitted)
        share = count_replayed_layers(chain) / answer.ticket.model.layer_count
        return t.cast(float, tokens * share)


def _find_new_stages(chain: Chain) -> frozenset[str]:
    new_stages = []
    for hop in chain.hops:
        if not isinstance(hop.cache, KeptCache):
            new_stages.append(hop.upstream)
    return frozenset(new_stages)
