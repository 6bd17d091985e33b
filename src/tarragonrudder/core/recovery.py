"""Choice of the chain on which an answer starts or goes on."""

import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.attempt import Answer
from tarragonrudder.core.budget import RetryBudget
from tarragonrudder.core.chain import (
    Chain,
    KeptCache,
    assign_caches,
    check_chain,
    count_replayed_layers,
)
from tarragonrudder.core.fleet import Engine
from tarragonrudder.core.membership import Membership
from tarragonrudder.core.quarantine import Quarantine
from tarragonrudder.core.selection import Need, Selector
from tarragonrudder.errors import ChainError


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
        budget: RetryBudget,
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
    ) -> Plan | None:
        """Return a chain for the next attempt, or None if there is none."""
        fingerprint = answer.chat.fingerprint
        held = answer.chain or answer.previous
        alive = frozenset(answer.alive)
        if answer.chain is not None:
            alive = frozenset(answer.chain.upstreams) - blamed
        avoided = self._quarantine.find_occupied(fingerprint, now)
        if self._quarantine.is_isolated(fingerprint):
            held = None
        elif held is not None:
            # These stages have run it already without a crash.
            avoided -= alive
        need = Need(
            answer.ticket.model,
            fingerprint,
            self._membership.unusable(now) | answer.rejected,
            avoided | blamed | self._membership.slow(now),
            held,
        )
        chain = self._choose(need, now)
        if chain is None:
            return None
        emitted = len(answer.assembly.emitted)
        attempt = answer.attempt
        chain = assign_caches(chain, held, attempt, emitted, alive)
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

    def _choose(self, need: Need, now: float) -> Chain | None:
        if need.avoided:
            strict = replace(need, excluded=need.excluded | need.avoided)
            chain = self._selector.choose(strict, now)
            if chain is not None:
                return chain
        return self._selector.choose(need, now)

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
