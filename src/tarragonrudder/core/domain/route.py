"""Routes of opaque requests, the services behind them, and client accounts."""

import typing as t
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    Attributes
    ----------
    streaming : bool
        Whether the answer is a series of numbered events.
    idempotent : bool
        Whether a request may run more than once; a stream is then resumed
        behind its last event.
    timeout : float
        Seconds after which a request must have its final answer.
    first_byte_target, event_gap_target : float
        Seconds to the first byte, and between two events, that count as on time.
    level : int
        A lower level is served first.
    targets : tuple of (str, float)
        Services and the share of requests that each gets.
    max_upstreams : int
        Upstreams to which one request may be sent.
    anonymous : bool
        Whether a request needs no API key.
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
    """Speed and memory of one kind of accelerator.

    Attributes
    ----------
    memory : float
        Bytes for weights and requests.
    step_factor, prefill_factor : float
        How many times longer writing and reading take than the profile says.
    """

    memory: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """How engines of one model service work.

    Attributes
    ----------
    layer_bytes, token_bytes : float
        Size of one layer's weights, and of one token's KV cache in all layers.
    activation_bytes : float
        Bytes that one token sends from one stage to the next.
    step_time, step_time_per_request : float
        Seconds of one token step over all layers, and what each request adds.
    prefill_rate : float
        Prompt tokens read a second, over all layers.
    link_rate : float
        Bytes a second between two data centres.
    link_delay : float
        Seconds one way between two data centres.
    load_time : float
        Seconds in which all layers are loaded.
    report_lag : float
        Seconds by which an engine's report is behind.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean tokens that a request has, and that are written for it.
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


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service that upstreams belong to; `engine` is None for a plain one."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Account:
    """A client account as routes see it; `level` is None if the route decides."""

    name: str
    level: int | None = None


class RouteTable:
    """One version of routes, services and client accounts, with look-ups.

    Parameters
    ----------
    accounts : mapping of str to Account
        Accounts by API key; empty where no key is asked for.
    """

    def __init__(
        self,
        version: int,
        routes: t.Iterable[Route],
        services: t.Iterable[ServiceSpec],
        accounts: t.Mapping[str, Account],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._accounts = dict(accounts)
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins `path`."""
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

    @property
    def needs_key(self) -> bool:
        """Whether requests carry an API key."""
        return bool(self._accounts)

    def find_account(self, key: str | None) -> Account | None:
        """Return the account that holds an API key."""
        return self._accounts.get(key) if key is not None else None
