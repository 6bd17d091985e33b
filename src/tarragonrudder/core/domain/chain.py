"""Chains of pipeline stages that generate an answer, and their validation."""

import typing as t
from dataclasses import dataclass, field, replace

from tarragonrudder.core.domain.fleet import Engine, LayerRange, Model
from tarragonrudder.errors import ChainError


@dataclass(frozen=True, slots=True)
class FreshCache:
    """The stage starts from the prompt without a KV cache."""


@dataclass(frozen=True, slots=True)
class KeptCache:
    """The stage still holds the KV cache of an earlier attempt."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ImportedCache:
    """The stage imports the KV cache of an earlier attempt from another upstream."""

    attempt: int
    upstream: str
    address: str = ""


@dataclass(frozen=True, slots=True)
class ReplayedCache:
    """The stage rebuilds its KV cache from the prompt and emitted tokens."""


CacheSource: t.TypeAlias = FreshCache | KeptCache | ImportedCache | ReplayedCache


@dataclass(frozen=True, slots=True)
class Hop:
    """One stage of a chain: an upstream and the layers it runs."""

    upstream: str
    address: str
    layers: LayerRange
    cache: CacheSource = FreshCache()


@dataclass(frozen=True, slots=True)
class Chain:
    """The ordered stages of one attempt; the first one is the head.

    Attributes
    ----------
    upstreams : tuple of str
        Names of the upstreams, in order; stored, as every token reads them.
    """

    model: str
    version: str
    hops: tuple[Hop, ...]
    upstreams: tuple[str, ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        names = tuple(hop.upstream for hop in self.hops)
        object.__setattr__(self, "upstreams", names)

    def describe(self) -> str:
        """Return a short text for logs, such as ``a[0-3] b[4-7]``."""
        parts = []
        for hop in self.hops:
            parts.append(f"{hop.upstream}[{hop.layers.first}-{hop.layers.last}]")
        return " ".join(parts)


def check_chain(chain: Chain, model: Model, engines: t.Mapping[str, Engine]) -> None:
    """Check that a chain runs every layer exactly once, in order.

    Raises
    ------
    ChainError
        If layers are missing, repeated or out of order, if a stage does not
        hold its layers, or if model versions are mixed.
    """
    if (chain.model, chain.version) != (model.name, model.version):
        raise ChainError(f"the chain is for {chain.model}, choose one for {model.name}")
    expected = 0
    for hop in chain.hops:
        engine = engines.get(hop.upstream)
        if engine is None:
            raise ChainError(f"{hop.upstream} is not configured; choose another")
        if (engine.model, engine.version) != (model.name, model.version):
            raise ChainError(f"{hop.upstream} holds another model; choose another")
        if not engine.layers.contains(hop.layers):
            raise ChainError(f"{hop.upstream} does not hold its layers; choose another")
        if hop.layers.first != expected or len(hop.layers) < 1:
            raise ChainError(f"layer {expected} must come next; choose another chain")
        expected = hop.layers.last + 1
    if expected != model.layer_count:
        raise ChainError(f"layer {expected} is not covered; add a stage that holds it")


def assign_caches(
    chain: Chain,
    previous: Chain | None,
    attempt: int,
    emitted: int,
    alive: t.Collection[str],
) -> Chain:
    """Choose the source of the KV cache for each stage of a new chain.

    Parameters
    ----------
    chain : Chain
        The chain that continues the answer.
    previous : Chain or None
        The chain of the preceding attempt.
    attempt : int
        Number of the preceding attempt.
    emitted : int
        Number of tokens already sent to the caller.
    alive : collection of str
        Upstreams of `previous` that are still alive.

    Returns
    -------
    Chain
        The same stages with their cache sources. A stage that already ran
        exactly these layers keeps its cache; one whose exact layers ran on a
        single other live upstream imports the cache from it; all others replay
        the prompt and the emitted tokens. Before the first token no cache is known
        to be complete, so all stages start without one.
    """
    if emitted == 0:
        return chain
    held: dict[LayerRange, Hop] = {}
    if previous is not None:
        held = {hop.layers: hop for hop in previous.hops}
    hops = []
    for hop in chain.hops:
        source = held.get(hop.layers)
        cache: CacheSource = ReplayedCache()
        if source is not None and source.upstream in alive:
            cache = ImportedCache(attempt, source.upstream, source.address)
            if source.upstream == hop.upstream:
                cache = KeptCache(attempt)
        hops.append(replace(hop, cache=cache))
    return replace(chain, hops=tuple(hops))


def count_replayed_layers(chain: Chain) -> int:
    """Return the number of layers whose KV cache must be computed again."""
    count = 0
    for hop in chain.hops:
        if isinstance(hop.cache, FreshCache | ReplayedCache):
            count += len(hop.layers)
    return count
