"""Builds the core's configuration from validated sections."""

import typing as t
from dataclasses import dataclass, field

from tarragonrudder.core.domain import fleet
from tarragonrudder.edges import schema
from tarragonrudder.edges.ini_merge import MergedSection

ACCOUNTS_PER_STEP = 500
SectionT = t.TypeVar("SectionT", bound=schema.Section)


@dataclass(slots=True)
class ValidatedSections:
    """Validated sections by kind and title, with the merged sections behind them."""

    sections: dict[str, dict[str, schema.Section]] = field(default_factory=dict)
    merged: dict[tuple[str, str], MergedSection] = field(default_factory=dict)

    def add(
        self, kind: str, title: str, section: schema.Section, merged: MergedSection
    ) -> None:
        """Add a section."""
        self.sections.setdefault(kind, {})[title] = section
        self.merged[kind, title] = merged

    def list_kind(
        self, kind: str, model: type[SectionT]
    ) -> t.Iterator[tuple[str, SectionT]]:
        """Yield the title and the section for each section of a kind."""
        for title, section in self.sections.get(kind, {}).items():
            assert isinstance(section, model)
            yield title, section


def assemble_in_steps(
    sections: ValidatedSections, generation: int, digest: str
) -> t.Generator[None, None, fleet.Configuration]:
    """Return the configuration that the sections describe.

    Yields every ``ACCOUNTS_PER_STEP`` client accounts, so that other tasks can run.
    """
    accounts = []
    for number, account in enumerate(_make_accounts(sections)):
        if number % ACCOUNTS_PER_STEP == 0:
            yield
        accounts.append(account)
    store = fleet.WeightStore()
    for _, item in sections.list_kind("weight-store", schema.WeightStoreSection):
        store = fleet.WeightStore(item.bytes_per_second)
    return fleet.Configuration(
        generation=generation,
        digest=digest,
        models=tuple(_make_models(sections)),
        engines=tuple(_make_engines(sections)),
        services=tuple(_make_services(sections)),
        links=tuple(_make_links(sections)),
        accounts=tuple(accounts),
        priorities=tuple(_make_priorities(sections)),
        model_routes=tuple(_make_model_routes(sections)),
        service_routes=tuple(_make_service_routes(sections)),
        busy_hours=tuple(_make_busy_hours(sections)),
        weight_store=store,
        data_centers=tuple(_make_data_centers(sections)),
    )


def split_version(text: str) -> tuple[str, str]:
    """Return the name and the version of ``NAME@VERSION``."""
    name, _, version = text.partition("@")
    return name, version


def _make_models(sections: ValidatedSections) -> t.Iterator[fleet.Model]:
    for title, item in sections.list_kind("model", schema.ModelSection):
        name, version = split_version(title)
        yield fleet.Model(
            name, version, item.layers, item.layer_bytes, item.activation_bytes
        )


def _make_engines(sections: ValidatedSections) -> t.Iterator[fleet.Engine]:
    for title, item in sections.list_kind("engine", schema.EngineSection):
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


def _make_services(sections: ValidatedSections) -> t.Iterator[fleet.ServiceInstance]:
    for title, item in sections.list_kind("service", schema.ServiceSection):
        yield fleet.ServiceInstance(
            title, item.address, item.data_center, item.service, item.outcome_path
        )


def _make_data_centers(sections: ValidatedSections) -> t.Iterator[fleet.DataCenter]:
    for title, item in sections.list_kind("data-center", schema.DataCenterSection):
        yield fleet.DataCenter(title, item.region)


def _make_links(sections: ValidatedSections) -> t.Iterator[fleet.Link]:
    for title, item in sections.list_kind("link", schema.LinkSection):
        source, _, target = title.partition(" ")
        latency = item.latency_ms / 1000.0
        yield fleet.Link(source, target, latency, item.bytes_per_second)


def _make_accounts(sections: ValidatedSections) -> t.Iterator[fleet.ClientAccount]:
    for title, item in sections.list_kind("account", schema.AccountSection):
        yield fleet.ClientAccount(
            title,
            tuple(item.key_hashes.split()),
            item.requests_per_second,
            item.burst,
            item.weight,
            item.priority,
        )


def _make_priorities(sections: ValidatedSections) -> t.Iterator[fleet.Priority]:
    for title, item in sections.list_kind("priority", schema.PrioritySection):
        yield fleet.Priority(title, item.level, item.deadline_s)


def _make_model_routes(sections: ValidatedSections) -> t.Iterator[fleet.ModelRoute]:
    for title, item in sections.list_kind("route", schema.ModelRouteSection):
        yield fleet.ModelRoute(title, *split_version(item.model))


def _make_service_routes(sections: ValidatedSections) -> t.Iterator[fleet.ServiceRoute]:
    for title, item in sections.list_kind("service-route", schema.ServiceRouteSection):
        methods = tuple(item.idempotent_methods.upper().split())
        yield fleet.ServiceRoute(title, methods, item.timeout_s)


def _make_busy_hours(sections: ValidatedSections) -> t.Iterator[fleet.BusyHours]:
    for title, item in sections.list_kind("busy-hours", schema.BusyHoursSection):
        name, version = split_version(item.model)
        days = tuple(schema.WEEKDAYS.index(day) for day in item.days.lower().split())
        yield fleet.BusyHours(
            title, name, version, days, item.start, item.end, item.zone, item.demand
        )
