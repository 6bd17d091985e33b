"""The operators' folder: INI files merged in the order of their names."""

import configparser
import hashlib
import typing as t

from pydantic import ValidationError

from tarragonrudder.core import fleet
from tarragonrudder.edges import schema
from tarragonrudder.errors import FolderError

Files: t.TypeAlias = t.Mapping[str, str]
WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")


def digest_files(files: Files) -> str:
    """Return the hexadecimal SHA-256 of the files' names and contents."""
    state = hashlib.sha256()
    for name in sorted(files):
        state.update(name.encode() + b"\0" + files[name].encode() + b"\0")
    return state.hexdigest()


def build_configuration(files: Files, generation: int) -> fleet.Configuration:
    """Merge and check files, and return the configuration they describe.

    Raises
    ------
    FolderError
        With all faults found; nothing of the files is used then.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    findings: list[str] = []
    for name in sorted(files):
        try:
            parser.read_string(files[name], source=name)
        except configparser.Error as error:
            findings.append(f"{name}: {error}; mend the line")
    sections: dict[str, dict[str, schema.Section]] = {}
    for header in parser.sections():
        kind, _, title = header.partition(":")
        model = schema.SECTIONS.get(kind)
        if model is None or not title:
            findings.append(f"[{header}]: unknown section; use one of the reference")
            continue
        try:
            section = model.model_validate(dict(parser[header]))
        except ValidationError as error:
            for fault in error.errors():
                key = ".".join(str(part) for part in fault["loc"])
                findings.append(f"[{header}] {key}: {fault['msg']}")
            continue
        sections.setdefault(kind, {})[title] = section
    if findings:
        raise FolderError(findings)
    return _assemble(sections, generation, digest_files(files))


def _assemble(
    sections: dict[str, dict[str, t.Any]], generation: int, digest: str
) -> fleet.Configuration:
    models = []
    for title, item in sections.get("model", {}).items():
        name, version = _split_version(title)
        models.append(
            fleet.Model(
                name, version, item.layers, item.layer_bytes, item.activation_bytes
            )
        )
    engines = []
    for title, item in sections.get("engine", {}).items():
        name, version = _split_version(item.model)
        first, _, last = item.layers.partition("-")
        engines.append(
            fleet.Engine(
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
        )
    services = []
    for title, item in sections.get("service", {}).items():
        services.append(
            fleet.Service(
                title, item.address, item.data_center, item.service, item.outcome_path
            )
        )
    links = []
    for title, item in sections.get("link", {}).items():
        source, _, target = title.partition(" ")
        latency = item.latency_ms / 1000.0
        links.append(fleet.Link(source, target, latency, item.bytes_per_second))
    accounts = []
    for title, item in sections.get("account", {}).items():
        accounts.append(
            fleet.ClientAccount(
                title,
                tuple(item.key_hashes.split()),
                item.requests_per_second,
                item.burst,
                item.weight,
                item.priority,
            )
        )
    priorities = []
    for title, item in sections.get("priority", {}).items():
        priorities.append(fleet.Priority(title, item.level, item.deadline_s))
    model_routes = []
    for title, item in sections.get("route", {}).items():
        model_routes.append(fleet.ModelRoute(title, *_split_version(item.model)))
    service_routes = []
    for title, item in sections.get("service-route", {}).items():
        methods = tuple(item.idempotent_methods.upper().split())
        service_routes.append(fleet.ServiceRoute(title, methods, item.timeout_s))
    busy_hours = []
    for title, item in sections.get("busy-hours", {}).items():
        name, version = _split_version(item.model)
        days = tuple(WEEKDAYS.index(day) for day in item.days.lower().split())
        busy_hours.append(
            fleet.BusyHours(
                title, name, version, days, item.start, item.end, item.zone, item.demand
            )
        )
    store = fleet.WeightStore()
    for item in sections.get("weight-store", {}).values():
        store = fleet.WeightStore(item.bytes_per_second)
    return fleet.Configuration(
        generation,
        digest,
        tuple(models),
        tuple(engines),
        tuple(services),
        tuple(links),
        tuple(accounts),
        tuple(priorities),
        tuple(model_routes),
        tuple(service_routes),
        tuple(busy_hours),
        store,
    )


def _split_version(text: str) -> tuple[str, str]:
    name, _, version = text.partition("@")
    return name, version
