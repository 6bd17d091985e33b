"""Configuration of models, upstreams, links, accounts and routes."""

import typing as t
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Model:
    """A model version and its layers.

    Attributes
    ----------
    name, version : str
        Together they identify the weights.
    layer_count : int
        Layers are numbered from 0 to ``layer_count - 1``.
    layer_bytes : int
        Size of one layer's weights, in bytes.
    activation_bytes : int
        Bytes sent from one stage to the next for each token.
    """

    name: str
    version: str
    layer_count: int
    layer_bytes: int = 0
    activation_bytes: int = 8192


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers ``first`` to ``last``, both included."""

    first: int
    last: int

    def contains(self, other: "LayerRange") -> bool:
        """Tell whether this range includes all of `other`."""
        return self.first <= other.first and other.last <= self.last

    def __len__(self) -> int:
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class Engine:
    """An upstream that holds a range of a model's layers.

    Attributes
    ----------
    layer_tokens_per_second : float
        Tokens per second for one layer, summed over the engine's batch. A stage
        of ``n`` layers generates this divided by ``n``.
    batch_limit : int
        Answers that the engine generates at the same time.
    checks_fencing : bool
        Whether the engine refuses orders with an outdated fencing token.
    movable : bool
        Whether the planner may assign other layers, another model or another
        version to it; the configured ones are then only its initial state.
    """

    name: str
    address: str
    data_center: str
    accelerator: str
    model: str
    version: str
    layers: LayerRange
    layer_tokens_per_second: float = 1000.0
    batch_limit: int = 32
    checks_fencing: bool = False
    movable: bool = False


@dataclass(frozen=True, slots=True)
class ServiceInstance:
    """An upstream that serves a plain service.

    Attributes
    ----------
    service : str
        Name under ``/services/``; several upstreams may serve the same one.
    outcome_path : str or None
        Path that returns the outcome of an idempotency key; None if the
        service has none.
    """

    name: str
    address: str
    data_center: str
    service: str
    outcome_path: str | None = None


Upstream: t.TypeAlias = Engine | ServiceInstance


@dataclass(frozen=True, slots=True)
class DataCenter:
    """A data centre and its region."""

    name: str
    region: str = "default"


@dataclass(frozen=True, slots=True)
class Link:
    """A link between two data centres, the same in both directions.

    Attributes
    ----------
    latency : float
        One-way latency, in seconds.
    bytes_per_second : float
        Capacity, shared by all traffic over the link.
    """

    source: str
    target: str
    latency: float
    bytes_per_second: float


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A caller's account.

    Attributes
    ----------
    key_hashes : tuple of str
        Hexadecimal SHA-256 digests of its API keys.
    requests_per_second : float
        Rate limit over all nodes.
    burst : float
        Requests that may arrive at once.
    weight : float
        Weight of its share of the fleet, relative to other accounts of the
        same priority.
    priority : str
        Name of its priority.
    """

    name: str
    key_hashes: tuple[str, ...]
    requests_per_second: float
    burst: float
    weight: float = 1.0
    priority: str = "normal"


@dataclass(frozen=True, slots=True)
class Priority:
    """A priority class of requests.

    Attributes
    ----------
    level : int
        A lower level is served first.
    deadline : float
        Seconds from arrival to the end of the answer.
    """

    name: str
    level: int
    deadline: float


@dataclass(frozen=True, slots=True)
class ModelRoute:
    """Maps the model name that callers use to a model version."""

    name: str
    model: str
    version: str


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Rules for calls to a plain service.

    Attributes
    ----------
    idempotent_methods : tuple of str
        Methods whose calls may be retried.
    timeout : float
        Seconds after which a call without an answer is abandoned.
    """

    name: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout: float = 10.0


@dataclass(frozen=True, slots=True)
class BusyHours:
    """Hours of high load, in local wall time.

    Attributes
    ----------
    days : tuple of int
        Days of the week on which the period starts; Monday is 0.
    start, end : str
        ``HH:MM``; an end at or before the start is on the next day.
    zone : str
        IANA time zone.
    demand : float
        Expected demand, in tokens per second.
    """

    name: str
    model: str
    version: str
    days: tuple[int, ...]
    start: str
    end: str
    zone: str
    demand: float


@dataclass(frozen=True, slots=True)
class WeightStore:
    """The store that engines load weights from.

    Attributes
    ----------
    bytes_per_second : float
        Throughput, shared by all concurrent loads.
    """

    bytes_per_second: float = 1e9


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration, complete and immutable.

    Attributes
    ----------
    generation : int
        Incremented by each accepted change; 0 if none was accepted yet.
    digest : str
        Hexadecimal SHA-256 digest of the merged content.
    """

    generation: int = 0
    digest: str = ""
    models: tuple[Model, ...] = ()
    engines: tuple[Engine, ...] = ()
    services: tuple[ServiceInstance, ...] = ()
    links: tuple[Link, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    priorities: tuple[Priority, ...] = ()
    model_routes: tuple[ModelRoute, ...] = ()
    service_routes: tuple[ServiceRoute, ...] = ()
    busy_hours: tuple[BusyHours, ...] = ()
    weight_store: WeightStore = field(default_factory=WeightStore)
    data_centers: tuple[DataCenter, ...] = ()

    def find_model(self, name: str, version: str) -> Model | None:
        """Return the model version, or None."""
        for model in self.models:
            if (model.name, model.version) == (name, version):
                return model
        return None

    def find_priority(self, name: str) -> Priority:
        """Return the named priority, or a default of level 0 and 60 s."""
        for priority in self.priorities:
            if priority.name == name:
                return priority
        return Priority(name, 0, 60.0)
