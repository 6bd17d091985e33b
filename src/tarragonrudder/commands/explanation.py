"""Explains which chain a request would take, using only the folder."""

import random
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.configuration_index import ConfigurationIndex
from tarragonrudder.core.domain.fleet import Configuration, Engine, LayerRange, Model
from tarragonrudder.core.selection.selector import ChainRequirements, Selector
from tarragonrudder.edges.cross_check import find_uncovered_layer
from tarragonrudder.errors import RouterError


class UnknownName(RouterError):
    """Raised if a name from the command line is not defined in the folder."""


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of the chain, and the other upstreams that hold its first layer."""

    upstream: str
    layers: str
    data_center: str
    accelerator: str
    speed: float
    others: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """The chain that would be chosen in an idle fleet, and why.

    Attributes
    ----------
    reasons : tuple of str
        One sentence for each fact that led to the choice.
    """

    route: str
    model: str
    stages: tuple[Stage, ...]
    reasons: tuple[str, ...]


def explain_route(
    configuration: Configuration,
    route: str,
    account: str | None,
    data_center: str | None,
    without: frozenset[str],
) -> Explanation:
    """Return the chain that a request would take.

    Raises
    ------
    UnknownName
        If a name is not defined in the folder.
    """
    index = ConfigurationIndex(configuration)
    model_route = index.find_model_route(route)
    if model_route is None:
        names = ", ".join(item.name for item in configuration.model_routes)
        raise UnknownName(f"there is no route {route}; use one of: {names}")
    model = configuration.find_model(model_route.model, model_route.version)
    if model is None:
        raise UnknownName(f"the model of route {route} is not there; add it")
    reasons = [f"route {route} leads to {model.name}@{model.version}"]
    if account is not None:
        reasons.append(_explain_account(configuration, index, account))
    engines = {engine.name: engine for engine in configuration.engines}
    for name in sorted(without - set(engines)):
        raise UnknownName(f"there is no engine {name}; mend --without")
    selector = Selector(data_center or "", random.Random(0))
    selector.configure(configuration)
    chain = selector.choose(ChainRequirements(model, "", without), 0.0)
    version = f"{model.name}@{model.version}"
    if chain is None:
        reasons.append(_explain_missing_layer(configuration, model, without))
        return Explanation(route, version, (), tuple(reasons))
    reasons.append("each layer from 0 to the last runs once, in this order")
    reasons.append(
        "load, cached prefixes and failures are not known offline; a node counts them"
    )
    stages = _describe_stages(chain, model, engines, without)
    return Explanation(route, version, stages, tuple(reasons))


def _explain_account(
    configuration: Configuration, index: ConfigurationIndex, name: str
) -> str:
    account = index.find_account(name)
    if account is None:
        raise UnknownName(f"there is no account {name}; mend --account")
    priority = configuration.find_priority(account.priority)
    return (
        f"account {name} has priority {priority.name}: level {priority.level}, "
        f"whole within {priority.deadline} s; {account.requests_per_second} requests "
        f"a second, {account.burst} at once"
    )


def _explain_missing_layer(
    configuration: Configuration, model: Model, without: frozenset[str]
) -> str:
    remaining = [item for item in configuration.engines if item.name not in without]
    reduced = Configuration(models=configuration.models, engines=tuple(remaining))
    layer = find_uncovered_layer(reduced, model)
    return f"no chain: no engine that is left holds layer {layer}; add one"


def _describe_stages(
    chain: Chain, model: Model, engines: dict[str, Engine], without: frozenset[str]
) -> tuple[Stage, ...]:
    stages = []
    for hop in chain.hops:
        engine = engines[hop.upstream]
        others = []
        for other in engines.values():
            first = LayerRange(hop.layers.first, hop.layers.first)
            usable = other.name != engine.name and other.name not in without
            same = (other.model, other.version) == (model.name, model.version)
            if usable and same and other.layers.contains(first):
                others.append(other.name)
        stages.append(
            Stage(
                engine.name,
                f"{hop.layers.first}-{hop.layers.last}",
                engine.data_center,
                engine.accelerator,
                engine.layer_tokens_per_second,
                tuple(others),
            )
        )
    return tuple(stages)
