"""Makes the core's data classes of validated sections."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain import fleet
from tarragonrudder.edges import schema
from tarragonrudder.edges.ini_merge import MergedSection

ACCOUNTS_PER_STEP = 500
SectionT = t.TypeVar("SectionT", bound=schema.Section)


@dataclass(slots=True)
class Content:
    """Validated sections by kind and name, and what they were merged of."""

    sections: dict[str, dict[str, schema.Section]] = field(default_factory=dict)
    merged: dict[tuple[str, str], MergedSection] = field(default_factory=dict)

    def add(
        self, kind: str, title: str, section: schema.Section, merged: MergedSection
    ) -> None:
        """Add a section."""
        self.sections.setdefault(kind, {})[title] = section
        self.merged[kind, title] = merged

    def list(
        self, kind: str, model: type[SectionT]
    ) -> t.Iterator[tuple[str, SectionT]]:
        """Yield the name and the section of each of a kind."""
        for title, section in self.sections.get(kind, {}).items():
            assert isinstance(section, model)
            yield title, section


def assemble_in_steps(
    content: Content, generation: int, digest: str
) -> t.Generator[None, None, fleet.Configuration]:
    """Return the configuration that the sections describe; yield often."""
    accounts = []
    for number, account in enumerate(_make_accounts(content)):
        if number % ACCOUNTS_PER_STEP == 0:
            yield
        accounts.append(account)
    store = fleet.WeightStore()
    for _, item in content.list("weight-store", schema.WeightStoreSection):
        store = fleet.WeightStore(item.bytes_per_second)
    return fleet.Configuration(
        generation=generation,
        digest=digest,
        models=tuple(_make_models(content)),
        engines=tuple(_make_engines(content)),
        services=tuple(_make_services(content)),
        links=tuple(_make_links(content)),
        accounts=tuple(accounts),
        priorities=tuple(_make_priorities(content)),
        model_routes=tuple(_make_model_routes(content)),
        service_routes=tuple(_make_service_routes(content)),
        busy_hours=tuple(_make_busy_hours(content)),
        weight_store=store,
        data_centers=tuple(_make_data_centers(content)),
    )


def split_version(text: str) -> tuple[str, str]:
    """Return the name and the version of ``NAME@VERSION``."""
    name, _, version = text.partition("@")
    return name, version


def _make_models(content: Content) -> t.Iterator[fleet.Model]:
    for title, item in content.list("model", schema.ModelSection):
        name, version = split_version(title)
        yield fleet.Model(
            name, version, item.layers, item.layer_bytes, item.activation_bytes
        )


def _make_engines(content: Content) -> t.Iterator[fleet.Engine]:
    for title, item in content.list("engine", schema.EngineSection):
        name, version = split_version(item.model)
        first, _, last = item.layers.partition("-")
        yield fleet.Engine(
            title,
            item.address,
            item.data_center,
            item.accelerator,
            name,
            version,
            fleet.LayerRange(int(first), int(last)),
            item.layer_tokens_per_second,
            item.batch_limit,
            item.checks_fencing,
            item.movable,
        )


def _make_services(content: Content) -> t.Iterator[fleet.ServiceInstance]:
    for title, item in content.list("service", schema.ServiceSection):
        yield fleet.ServiceInstance(
            title, item.address, item.data_center, item.service, item.outcome_path
        )


def _make_data_centers(content: Content) -> t.Iterator[fleet.DataCenter]:
    for title, item in content.list("data-center", schema.DataCenterSection):
        yield fleet.DataCenter(title, item.region)


def _make_links(content: Content) -> t.Iterator[fleet.Link]:
    for title, item in content.list("link", schema.LinkSection):
        source, _, target = title.partition(" ")
        latency = item.latency_ms / 1000.0
        yield fleet.Link(source, target, latency, item.bytes_per_second)


def _make_accounts(content: Content) -> t.Iterator[fleet.ClientAccount]:
    for title, item in content.list("account", schema.AccountSection):
        yield fleet.ClientAccount(
            title,
            tuple(item.key_hashes.split()),
            item.requests_per_second,
            item.burst,
            item.weight,
            item.priority,
        )


def _make_priorities(content: Content) -> t.Iterator[fleet.Priority]:
    for title, item in content.list("priority", schema.PrioritySection):
        yield fleet.Priority(title, item.level, item.deadline_s)


def _make_model_routes(content: Content) -> t.Iterator[fleet.ModelRoute]:
    for title, item in content.list("route", schema.ModelRouteSection):
        yield fleet.ModelRoute(title, *split_version(item.model))


def _make_service_routes(content: Content) -> t.Iterator[fleet.ServiceRoute]:
    for title, item in content.list("service-route", schema.ServiceRouteSection):
        methods = tuple(item.idempotent_methods.upper().split())
        yield fleet.ServiceRoute(title, methods, item.timeout_s)


def _make_busy_hours(content: Content) -> t.Iterator[fleet.BusyHours]:
    for title, item in content.list("busy-hours", schema.BusyHoursSection):
        name, version = split_version(item.model)
        days = tuple(schema.WEEKDAYS.index(day) for day in item.days.lower().split())
        yield fleet.BusyHours(
            title, name, version, days, item.start, item.end, item.zone, item.demand
        )
