"""Fleets and client accounts that the benchmarks simulate."""

import random
from dataclasses import dataclass

from tarragonrudder.core.domain.fleet import (
    ClientAccount,
    Configuration,
    Engine,
    LayerRange,
    Link,
    Model,
    ModelRoute,
    Priority,
)
from tarragonrudder.core.selection.flow import compute_plan

ROUTE = "assistant"
DATA_CENTERS = ("north", "middle", "south")
LAYER_SPEEDS = {"a": 1600.0, "b": 2400.0, "c": 3600.0, "d": 6400.0}  # layer tokens/s
LAYERS = 32
DEADLINE = 12.0  # seconds
LARGE_ACCOUNTS = 3
ACCOUNTS = 10
LARGE_SHARE = 0.24  # of all requests, for each large account


@dataclass(frozen=True, slots=True)
class Site:
    """One deployment.

    Attributes
    ----------
    bound : float
        Throughput bound of the flow plan, in tokens per second.
    client_latency : float
        Seconds between a client and a node, one way.
    """

    name: str
    configuration: Configuration
    bound: float
    client_latency: float


def make_site(name: str, seed: int, client_latency: float, workers: int = 40) -> Site:
    """Return a site of mixed accelerators whose layer ranges overlap."""
    source = random.Random(seed)
    model = Model("writer", "1", LAYERS, activation_bytes=8192)
    engines = []
    for index in range(workers):
        kind = source.choice(list(LAYER_SPEEDS))
        first = 8 * (index % 4)
        last = first + 7
        if index % 5 == 4:
            # Every fifth engine holds half of the layers, and may start mid-quarter.
            first = source.choice((0, 4, 8, 12, 16))
            last = first + 15
        engines.append(
            Engine(
                f"{name}-{index:02}",
                f"http://{name}-{index:02}",
                DATA_CENTERS[index % 3],
                kind,
                model.name,
                model.version,
                LayerRange(first, last),
                LAYER_SPEEDS[kind],
                64,
            )
        )
    links = (
        Link("north", "middle", 0.0005, 2e8),
        Link("middle", "south", 0.0005, 2e7),
        Link("north", "south", 0.0005, 2e6),
    )
    configuration = Configuration(
        generation=1,
        digest=name,
        models=(model,),
        engines=tuple(engines),
        links=links,
        accounts=make_accounts(),
        priorities=(Priority("normal", 1, DEADLINE),),
        model_routes=(ModelRoute(ROUTE, model.name, model.version),),
    )
    bound = compute_plan(model, configuration.engines, links).bound
    return Site(name, configuration, bound, client_latency)


def make_accounts() -> tuple[ClientAccount, ...]:
    """Return ten accounts of equal weight."""
    accounts = []
    for index in range(ACCOUNTS):
        accounts.append(ClientAccount(f"account-{index}", (), 1e6, 1e6))
    return tuple(accounts)


def list_account_shares() -> list[float]:
    """Return the accounts' default shares of all requests."""
    small = (1.0 - LARGE_ACCOUNTS * LARGE_SHARE) / (ACCOUNTS - LARGE_ACCOUNTS)
    return [LARGE_SHARE] * LARGE_ACCOUNTS + [small] * (ACCOUNTS - LARGE_ACCOUNTS)
