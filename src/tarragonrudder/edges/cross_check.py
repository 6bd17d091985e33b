"""Checks the sections of a configuration against one another."""

import typing as t

from tarragonrudder.core.domain.fleet import Configuration, LayerRange, Model
from tarragonrudder.edges.ini_merge import MergedSection

Sections: t.TypeAlias = t.Mapping[tuple[str, str], MergedSection]
DEFAULT_PRIORITY = "normal"
ACCOUNTS_PER_STEP = 500


class _Report:
    """Collects findings, each with the location of its section."""

    def __init__(self, sections: Sections) -> None:
        self._sections = sections
        self.findings: list[str] = []

    def add(self, kind: str, title: str, text: str) -> None:
        """Add a finding about a section."""
        section = self._sections.get((kind, title))
        where = f"{section.location}: " if section is not None else ""
        self.findings.append(f"{where}[{kind}:{title}]: {text}")


def cross_check_in_steps(
    configuration: Configuration, sections: Sections
) -> t.Generator[None, None, list[str]]:
    """Return inconsistencies between individually valid sections; yield often."""
    report = _Report(sections)
    _check_engines(configuration, report)
    _check_model_routes(configuration, report)
    _check_services(configuration, report)
    _check_links(configuration, report)
    yield from _check_accounts(configuration, report)
    _check_busy_hours(configuration, report)
    return report.findings


def _check_engines(configuration: Configuration, report: _Report) -> None:
    addresses: dict[str, str] = {}
    for service in configuration.services:
        addresses.setdefault(service.address, service.name)
    names = {service.name for service in configuration.services}
    for engine in configuration.engines:
        if engine.name in names:
            text = "a service has this name too; name upstreams apart"
            report.add("engine", engine.name, text)
        other = addresses.setdefault(engine.address, engine.name)
        if other != engine.name:
            text = f"{other} has the same address; give each upstream its own"
            report.add("engine", engine.name, text)
        model = configuration.find_model(engine.model, engine.version)
        if model is None:
            text = f"there is no [model:{engine.model}@{engine.version}]; add it"
            report.add("engine", engine.name, text)
            continue
        if engine.layers.last >= model.layer_count:
            text = f"the model's last layer is {model.layer_count - 1}; mend layers"
            report.add("engine", engine.name, text)


def _check_model_routes(configuration: Configuration, report: _Report) -> None:
    for route in configuration.model_routes:
        model = configuration.find_model(route.model, route.version)
        if model is None:
            text = f"there is no [model:{route.model}@{route.version}]; add it"
            report.add("route", route.name, text)
            continue
        layer = find_uncovered_layer(configuration, model)
        if layer is not None and not _is_planned(configuration, model):
            text = f"no engine holds layer {layer} of its model; add an engine for it"
            report.add("route", route.name, text)


def _is_planned(configuration: Configuration, model: Model) -> bool:
    """Tell whether the planner may place a model, so that layers may be missing."""
    if not any(engine.movable for engine in configuration.engines):
        return False
    for hours in configuration.busy_hours:
        if (hours.model, hours.version) == (model.name, model.version):
            return True
    return False


def find_uncovered_layer(configuration: Configuration, model: Model) -> int | None:
    """Return the first layer that no engine holds, or None.

    A stage may run a subset of the layers it holds, so a chain exists if and only
    if each layer is held by some engine.
    """
    held: list[LayerRange] = []
    for engine in configuration.engines:
        if (engine.model, engine.version) == (model.name, model.version):
            held.append(engine.layers)
    layer = 0
    for layers in sorted(held, key=lambda item: item.first):
        if layers.first > layer:
            return layer
        layer = max(layer, layers.last + 1)
    return layer if layer < model.layer_count else None


def _check_services(configuration: Configuration, report: _Report) -> None:
    served = {service.service for service in configuration.services}
    routed = {route.name for route in configuration.service_routes}
    for route in configuration.service_routes:
        if route.name not in served:
            text = "no [service:...] carries it; add an upstream"
            report.add("service-route", route.name, text)
    for service in configuration.services:
        if service.service not in routed:
            text = f"there is no [service-route:{service.service}]; add it"
            report.add("service", service.name, text)


def _check_links(configuration: Configuration, report: _Report) -> None:
    known = {engine.data_center for engine in configuration.engines}
    known |= {service.data_center for service in configuration.services}
    known |= {center.name for center in configuration.data_centers}
    seen: set[frozenset[str]] = set()
    for link in configuration.links:
        title = f"{link.source} {link.target}"
        pair = frozenset((link.source, link.target))
        if len(pair) != 2:
            report.add("link", title, "both ends are the same; name two data centres")
            continue
        for name in sorted(pair - known):
            text = f"data centre {name} is unknown; mend it or add [data-center:{name}]"
            report.add("link", title, text)
        if pair in seen:
            report.add("link", title, "the link stands twice; remove one")
        seen.add(pair)


def _check_accounts(configuration: Configuration, report: _Report) -> t.Iterator[None]:
    priorities = {priority.name for priority in configuration.priorities}
    owners: dict[str, str] = {}
    for number, account in enumerate(configuration.accounts):
        if number % ACCOUNTS_PER_STEP == 0:
            yield
        if account.priority not in priorities | {DEFAULT_PRIORITY}:
            text = f"there is no [priority:{account.priority}]; add it"
            report.add("account", account.name, text)
        for digest in account.key_hashes:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                text = f"account {owner} has one of its keys; give each its own"
                report.add("account", account.name, text)


def _check_busy_hours(configuration: Configuration, report: _Report) -> None:
    for hours in configuration.busy_hours:
        if configuration.find_model(hours.model, hours.version) is None:
            text = f"there is no [model:{hours.model}@{hours.version}]; add it"
            report.add("busy-hours", hours.name, text)
