"""Routes of forwarded requests, their services, and client accounts."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain.fleet import LayerRange


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for requests with one host and path prefix.

    Attributes
    ----------
    streaming : bool
        Whether the answer is a stream of numbered events.
    idempotent : bool
        Whether a request may run more than once; a stream is then resumed
        after its last event.
    timeout : float
        Seconds within which a request must be answered completely.
    first_byte_target, event_gap_target : float
        Latency targets in seconds: to the first byte, and between two events.
    level : int
        Priority level; lower is served first.
    targets : tuple of (str, float)
        Services and the weight of each in the traffic split.
    max_upstreams : int
        Maximum number of upstreams to which one request may be sent.
    anonymous : bool
        Whether requests without an API key are accepted.
    """

    name: str
    host: str
    prefix: str
    streaming: bool
    idempotent: bool
    timeout: float
    first_byte_target: float
    event_gap_target: float
    level: int
    targets: tuple[tuple[str, float], ...]
    max_upstreams: int
    anonymous: bool


@dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """Memory and relative speed of one kind of accelerator.

    Attributes
    ----------
    memory : float
        Bytes available for weights and KV caches.
    step_factor, prefill_factor : float
        Factors by which decode steps and prefill take longer than the engine
        profile states.
    """

    memory: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Performance model of the engines of one model service.

    Attributes
    ----------
    slots : int
        Requests that an engine runs at once.
    layer_bytes, token_bytes : float
        Bytes of one layer's weights, and of one token's KV cache in all layers.
    activation_bytes : float
        Bytes sent from one stage to the next for each token.
    step_time, step_time_per_request : float
        Seconds of one decode step over all layers, and the seconds that each
        concurrent request adds to it.
    prefill_rate : float
        Prompt tokens processed per second, over all layers.
    link_rate : float
        Bytes per second between two data centres.
    link_delay : float
        One-way delay between two data centres, in seconds.
    load_time : float
        Seconds that loading all layers takes.
    report_lag : float
        Seconds by which an engine's load report lags behind.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean length of prompts and of answers, in tokens.
    kinds : mapping of str to AcceleratorKind
        Accelerator kinds by name.
    """

    model: str
    slots: int
    layer_count: int
    layer_bytes: float
    token_bytes: float
    activation_bytes: float
    step_time: float
    step_time_per_request: float
    prefill_rate: float
    link_rate: float
    link_delay: float
    load_time: float
    report_lag: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    kinds: t.Mapping[str, AcceleratorKind] = field(default_factory=dict)

    def has_layers(self, layers: LayerRange) -> bool:
        """Tell whether the model has all of some layers."""
        return layers.first >= 0 and layers.last < self.layer_count


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service provided by upstreams; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's request: sizes in bytes, timeouts in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; `level` is None if the route sets the priority level."""

    name: str
    level: int | None = None


class RouteTable:
    """One version of all routes, services and client accounts, indexed.

    Parameters
    ----------
    accounts : mapping of str to Account, or None
        Accounts by API key; None if requests need no key. Without any account, no
        key is good.

    Attributes
    ----------
    needs_key : bool
        Whether requests need an API key.
    account_levels : frozenset of int
        Priority levels that accounts set for their requests.
    has_unranked_callers : bool
        Whether some callers' requests get their levels from routes.
    """

    def __init__(
        self,
        version: int,
        routes: t.Iterable[Route],
        services: t.Iterable[ServiceSpec],
        accounts: t.Mapping[str, Account] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.needs_key = accounts is not None
        self._accounts = dict(accounts or {})
        levels = {account.level for account in self._accounts.values()}
        self.account_levels = frozenset(each for each in levels if each is not None)
        self.has_unranked_callers = not self.needs_key or None in levels
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str | None) -> Account | None:
        """Return the account that an API key belongs to, or None."""
        return self._accounts.get(key) if key is not None else None
