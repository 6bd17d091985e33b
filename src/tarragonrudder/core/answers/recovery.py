"""Choice of the chain on which an answer starts or goes on."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.admission.budget import WorkBudget
from tarragonrudder.core.answers.attempt import Answer
from tarragonrudder.core.answers.quarantine import Quarantine
from tarragonrudder.core.domain.action import Action, LogDecision
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
from tarragonrudder.core.selection.selection import Need, Selector
from tarragonrudder.errors import ChainError

LOST_TOKENS = 1  # tokens that a crash may keep from the node
APART_WAIT = 0.75  # seconds for which a suspect waits for stages of its own
OWN_WAIT = 0.55  # seconds in which a suspect keeps to its node's own share
APART_PERIOD = 0.03  # seconds between looks for such stages


@dataclass(frozen=True, slots=True)
class Later:
    """Nothing is free for a suspect now; `delay` is in seconds."""

    delay: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A checked chain.

    Attributes
    ----------
    work : float
        Extra work of the attempt, in the retry budget's unit.
    placed : frozenset of str
        Stages that did not run the answer before.
    """

    chain: Chain
    work: float
    placed: frozenset[str]


class Recovery:
    """Plans attempts within the retry budget."""

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
        """Take the engines of a new configuration into use."""
        self._engines = {engine.name: engine for engine in engines}

    def plan(
        self, answer: Answer, now: float, blamed: frozenset[str] = frozenset()
    ) -> Plan | Later | None:
        """Return a chain for the next attempt, or None if there is none."""
        held = answer.chain or answer.previous
        alive = answer.alive
        if answer.chain is not None:
            alive = frozenset(answer.chain.upstreams) - blamed
        if self._quarantine.is_isolated(answer.chat.fingerprint):
            held, alive = None, frozenset()
        need = Need(
            answer.ticket.model,
            answer.chat.fingerprint,
            self._membership.unusable(now) | answer.rejected,
            blamed | self._membership.slow(now),
            held,
        )
        apart = self._find_apart(answer, alive, now)
        chain = self._choose(replace(need, excluded=need.excluded | apart), now)
        if chain is None and apart:
            if now - (answer.apart_since or now) < APART_WAIT:
                return Later(APART_PERIOD)
            chain = self._choose(need, now)
        if chain is None:
            return None
        emitted = len(answer.assembly.emitted)
        chain = assign_caches(chain, held, answer.attempt, emitted, alive)
        return Plan(chain, self._measure(answer, chain), _find_placed(chain))

    def check(self, answer: Answer, chain: Chain, now: float) -> bool:
        """Check a chain again at the moment of its dispatch."""
        if self._membership.unusable(now) & set(chain.upstreams):
            return False
        try:
            check_chain(chain, answer.ticket.model, self._engines)
        except ChainError:
            return False
        return True

    def pay(self, plan: Plan, now: float) -> bool:
        """Take a plan's work from the budget; False if it is spent."""
        return plan.work == 0.0 or self._budget.withdraw(plan.work, now)

    def count_load(self, work: float, now: float) -> None:
        """Count work of a first attempt."""
        self._budget.deposit(work, now)

    def is_chain_expected(self, answer: Answer, now: float) -> bool:
        """Tell whether there is a chain once failed upstreams are back."""
        leaving = self._membership.leaving(now)
        need = Need(answer.ticket.model, answer.chat.fingerprint, leaving)
        return self._selector.choose(need, now) is not None

    def note_failure(
        self, answer: Answer, failure: Failure, upstream: str | None, now: float
    ) -> list[Action]:
        """Note what a failed attempt says about an upstream."""
        fields = {
            "request": answer.request,
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
            case Refused() | Malformed():
                # The request may be at fault, so that others may go on there.
                answer.rejected.add(upstream)
            case Crashed():
                actions.extend(self._membership.mark_failed(upstream, now))
                fingerprint = answer.chat.fingerprint
                # A token may have been lost between its stage and this node.
                strong = answer.fresh == 0 or (
                    answer.attempt > 1 and answer.fresh <= LOST_TOKENS
                )
                actions.extend(
                    self._quarantine.record_crash(fingerprint, upstream, strong, now)
                )
            case Unreachable() | Stalled():
                actions.extend(self._membership.mark_failed(upstream, now))
        return actions

    def _choose(self, need: Need, now: float) -> Chain | None:
        if need.avoided:
            strict = replace(need, excluded=need.excluded | need.avoided)
            chain = self._selector.choose(strict, now)
            if chain is not None:
                return chain
        return self._selector.choose(need, now)

    def _find_apart(
        self, answer: Answer, alive: frozenset[str], now: float
    ) -> frozenset[str]:
        """Return the upstreams that a suspect must not be sent to."""
        fingerprint = answer.chat.fingerprint
        if not self._quarantine.is_suspect(fingerprint):
            return frozenset()
        if self._quarantine.is_infrastructure(now):
            return frozenset()
        if answer.apart_since is None:
            answer.apart_since = now
        names = self._quarantine.find_occupied(fingerprint, now)
        if now - answer.apart_since < OWN_WAIT:
            # Peers' placements are not all known yet: keep to a share of the
            # upstreams that no other node uses for its suspects.
            names |= self._membership.find_engines_of_peers()
        # The stages that are alive have run it already without a crash.
        return names - alive

    def _measure(self, answer: Answer, chain: Chain) -> float:
        if answer.attempt == 0 or not (answer.in_doubt or answer.chain is not None):
            return 0.0
        tokens = answer.prompt_work + len(answer.assembly.emitted)
        share = count_replayed_layers(chain) / answer.ticket.model.layer_count
        return t.cast(float, tokens * share)


def _find_placed(chain: Chain) -> frozenset[str]:
    placed = []
    for hop in chain.hops:
        if not isinstance(hop.cache, KeptCache):
            placed.append(hop.upstream)
    return frozenset(placed)
