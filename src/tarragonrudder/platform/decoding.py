"""Decoders of the operator's configuration and of the upstreams' store entries."""

import re
import typing as t

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from tarragonrudder.core.configuration.route_review import (
    AccountKeys,
    RoutingDocument,
)
from tarragonrudder.core.domain.address import check_address
from tarragonrudder.core.domain.fleet import LayerRange
from tarragonrudder.core.domain.route import (
    AcceleratorKind,
    Account,
    CallerLimits,
    EngineProfile,
    Route,
    RouteTable,
    ServiceSpec,
)
from tarragonrudder.core.forwarding.upstream_table import Registration

MEGABYTE = 1e6  # unit of fields named "mb"; decimal, not binary
BITS_PER_BYTE = 8.0
# Seconds between two events, for routes without a target. A stream stalls at about
# half of it, which leaves time for another path: callers give up after two seconds.
DEFAULT_GAP_TARGET = 1.0
MAX_REPORT_LAG = 10.0  # seconds; a longer lag is taken for a mistake and capped
MAX_LAYERS = 1 << 16  # of a model
# Names of upstreams are sent as header values.
NAME_PATTERN = re.compile(r"[!-~]{1,200}")

Address: t.TypeAlias = t.Annotated[str, AfterValidator(check_address)]
Count: t.TypeAlias = t.Annotated[int, Field(ge=0, lt=1 << 63)]


class DocumentError(Exception):
    """A configuration or an upstream entry is not a valid document."""


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, protected_namespaces=())


class _SplitTarget(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str
    host: str
    prefix: str
    kind: t.Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: float = Field(alias="timeout-ms", gt=0)
    aim_ms: float = Field(0.0, alias="target-latency-ms")
    gap_aim_ms: float = Field(0.0, alias="gap-aim-ms")
    priority: int = 5
    service: str = ""
    split: tuple[_SplitTarget, ...] = Field((), alias="traffic-split")
    max_attempts: int = Field(1, alias="max-attempts")
    anonymous: bool = Field(False, alias="allow-anonymous")
    resumable: bool = False


class _Accelerator(_Document):
    name: str
    mb: float
    pace: float = 1.0
    read_factor: float = Field(1.0, alias="read-x")


class _Model(_Document):
    name: str
    load_s: float = Field(0.0, alias="load-s")


class _ZoneDelay(_Document):
    delay_ms: float = 0.0


class _TypicalRequest(_Document):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(_Document):
    slots: int
    token_bytes: float = Field(alias="kv-token-bytes")
    models: tuple[_Model, ...] = ()
    step_ms: float
    per_seq_ms: float = 0.0
    read_per_s: float
    report_lag_ms: float = 0.0
    delays: tuple[_ZoneDelay, ...] = ()
    usual: _TypicalRequest = Field(default_factory=_TypicalRequest)
    layers: int = Field(1, ge=1)
    layer_mb: float = Field(0.0, alias="layer-mb")
    act_bytes: float = Field(0.0, alias="act-bytes")
    pipe_mbps: float = Field(0.0, alias="pipe-mbps")
    kinds: tuple[_Accelerator, ...] = ()


class _Service(_Document):
    name: str
    max_connections: int = Field(100, alias="max-connections")
    engine: _Engine | None = None


class _Limits(_Document):
    header_bytes: int = Field(16384, alias="max-header-bytes")
    body_bytes: int = Field(4194304, alias="max-body-bytes")
    header_ms: float = Field(3000, alias="header-timeout-ms")
    idle_ms: float = Field(15000, alias="idle-timeout-ms")


class _Tenant(_Document):
    name: str
    keys: tuple[str, ...] = Field((), alias="api-keys")
    priority: int | None = None


class _Configuration(_Document):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = Field(default_factory=lambda: _Limits.model_validate({}))
    tenants: tuple[_Tenant, ...] = ()


class _Version(_Document):
    version: int


class _EntryPart(_Document):
    """Part of an entry; a number of another type than its field's is an error."""

    model_config = ConfigDict(strict=True)


class _LayerInterval(_EntryPart):
    first: int = Field(alias="from", ge=0, lt=MAX_LAYERS)
    # Exclusive end; the core's LayerRange includes its last layer.
    target: int = Field(ge=0, le=MAX_LAYERS)


class _UpstreamEntry(_EntryPart):
    service: str
    address: Address
    zone: str
    state: t.Literal["ready", "draining"]
    slots: Count = 1
    kind: str = ""
    layers: _LayerInterval | None = None
    born: Count = 0


class _NodeEntry(_EntryPart):
    address: Address


def decode_node_entry(text: bytes) -> str:
    """Return the address of a node from its store entry; raises DocumentError."""
    return _validate(_NodeEntry, text).address


def decode_version(text: bytes) -> int:
    """Return the version that a configuration names, 0 if it names none."""
    try:
        return _Version.model_validate_json(text).version
    except ValidationError:
        return 0


def decode_configuration(text: bytes) -> RouteTable:
    """Decode the operator's configuration from JSON.

    Raises
    ------
    DocumentError
        If it is invalid. The message names fields but never quotes values, which
        may be API keys.
    """
    return _make_table(_validate(_Configuration, text))


def decode_routing_document(text: bytes) -> RoutingDocument:
    """Decode the operator's configuration for a review; raises DocumentError."""
    document = _validate(_Configuration, text)
    accounts = [AccountKeys(each.name, each.keys) for each in document.tenants]
    return RoutingDocument(_make_table(document), tuple(accounts))


def _make_table(document: _Configuration) -> RouteTable:
    accounts = {}
    for tenant in document.tenants:
        for key in tenant.keys:
            accounts[key] = Account(tenant.name, tenant.priority)
    has_accounts = "tenants" in document.model_fields_set
    limits = document.limits
    return RouteTable(
        document.version,
        [_make_route(route) for route in document.routes],
        [_make_service(service) for service in document.services],
        accounts if has_accounts else None,
        CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms / 1000.0,
            limits.idle_ms / 1000.0,
        ),
    )


def decode_entry(name: str, text: bytes) -> Registration:
    """Decode an upstream's store entry from JSON.

    Raises
    ------
    DocumentError
        If it is invalid, or its name can't be sent to the upstream.
    """
    if NAME_PATTERN.fullmatch(name) is None:
        raise DocumentError("name: not of 1 to 200 visible ASCII characters")
    entry = _validate(_UpstreamEntry, text)
    layers = None
    if entry.layers is not None and entry.layers.target > entry.layers.first:
        layers = LayerRange(entry.layers.first, entry.layers.target - 1)
    return Registration(
        name=name,
        service=entry.service,
        address=entry.address,
        data_center=entry.zone,
        ready=entry.state == "ready",
        slots=entry.slots,
        kind=entry.kind,
        layers=layers,
        born=entry.born,
    )


DocumentT = t.TypeVar("DocumentT", bound=_Document)


def _validate(model: type[DocumentT], text: bytes) -> DocumentT:
    try:
        return model.model_validate_json(text)
    except ValidationError as error:
        locations = []
        for item in error.errors(
            include_url=False, include_input=False, include_context=False
        ):
            location = ".".join(str(part) for part in item["loc"])
            locations.append(f"{location}: {item['type']}")
        raise DocumentError("; ".join(locations[:5])) from None


def _make_route(route: _Route) -> Route:
    targets = [(target.service, target.weight) for target in route.split]
    if not targets:
        targets = [(route.service, 1.0)]
    streaming = route.kind == "streaming"
    gap_target = route.gap_aim_ms / 1000.0
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        streaming=streaming,
        idempotent=route.resumable if streaming else route.kind == "idempotent",
        timeout=route.timeout_ms / 1000.0,
        first_byte_target=(route.aim_ms or route.timeout_ms) / 1000.0,
        event_gap_target=gap_target if gap_target > 0.0 else DEFAULT_GAP_TARGET,
        level=route.priority,
        targets=tuple(targets),
        max_upstreams=max(1, route.max_attempts),
        anonymous=route.anonymous,
    )


def _make_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    if engine is None or not engine.kinds:
        return ServiceSpec(service.name, service.max_connections)
    kinds = {}
    for kind in engine.kinds:
        kinds[kind.name] = AcceleratorKind(
            kind.mb * MEGABYTE, kind.pace, kind.read_factor
        )
    model = engine.models[0] if engine.models else _Model(name="")
    delays = [delay.delay_ms for delay in engine.delays]
    profile = EngineProfile(
        model=model.name,
        slots=engine.slots,
        layer_count=engine.layers,
        layer_bytes=engine.layer_mb * MEGABYTE,
        token_bytes=engine.token_bytes,
        activation_bytes=engine.act_bytes,
        step_time=engine.step_ms / 1000.0,
        step_time_per_request=engine.per_seq_ms / 1000.0,
        prefill_rate=engine.read_per_s,
        link_rate=engine.pipe_mbps * MEGABYTE / BITS_PER_BYTE,
        link_delay=max(delays, default=0.0) / 1000.0,
        load_time=model.load_s,
        report_lag=min(MAX_REPORT_LAG, engine.report_lag_ms / 1000.0),
        mean_prompt_tokens=max(1.0, engine.usual.prompt),
        mean_answer_tokens=max(1.0, engine.usual.answer),
        kinds=kinds,
    )
    return ServiceSpec(service.name, service.max_connections, profile)
