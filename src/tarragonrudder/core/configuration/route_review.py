"""Findings in a routing document that decodes, but can't work as it is written."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.route import (
    EngineProfile,
    Route,
    RouteTable,
    ServiceSpec,
)


@dataclass(frozen=True, slots=True)
class AccountKeys:
    """A client account as a document lists it, with its API keys."""

    name: str
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """A routing document: its table, and what the table's indexes leave out.

    Attributes
    ----------
    accounts : tuple of AccountKeys
        All accounts in order; the table keeps the last account of each key.
    """

    table: RouteTable
    accounts: tuple[AccountKeys, ...] = ()


@dataclass(frozen=True, slots=True)
class Finding:
    """Something in a document that an operator should look at.

    Attributes
    ----------
    is_error : bool
        Whether nodes would not put the document into force.
    subject : str
        The entry, such as ``route drafts``; never holds an API key.
    message : str
        What is wrong and what to do.
    """

    is_error: bool
    subject: str
    message: str


def review_document(
    document: RoutingDocument, in_force: RoutingDocument | None = None
) -> list[Finding]:
    """Return the findings in a document.

    Parameters
    ----------
    in_force : RoutingDocument or None
        The document that it is to replace, if it is known.
    """
    findings = [*_review_routes(document.table)]
    findings.extend(_review_services(document.table))
    findings.extend(_review_accounts(document))
    findings.extend(_review_limits(document.table))
    if in_force is not None:
        findings.extend(_review_version(document.table, in_force.table))
    return findings


def _make_warning(subject: str, message: str) -> Finding:
    return Finding(False, subject, message)


def _review_version(table: RouteTable, in_force: RouteTable) -> t.Iterator[Finding]:
    if table.version <= in_force.version:
        yield Finding(
            True,
            "document",
            f"version {table.version} is not above {in_force.version}, which is in "
            "force; nodes would ignore it; raise the version",
        )


def _review_routes(table: RouteTable) -> t.Iterator[Finding]:
    latest = {(route.host, route.prefix): route for route in table.routes}
    names: set[str] = set()
    for route in table.routes:
        subject = f"route {route.name}"
        if route.name in names:
            yield _make_warning(subject, "another route has this name; rename one")
        names.add(route.name)
        other = latest[route.host, route.prefix]
        if other is not route:
            yield _make_warning(
                subject,
                f"never matches: route {other.name} comes later with the same host "
                "and prefix; remove one",
            )
        yield from _review_match(subject, route)
        yield from _review_targets(subject, route, table)
        yield from _review_times(subject, route)


def _review_match(subject: str, route: Route) -> t.Iterator[Finding]:
    if not route.host:
        yield _make_warning(subject, "never matches: its host is empty; name one")
    # Prefixes are compared up to a slash of the path.
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield _make_warning(
            subject, "never matches: its prefix must begin and end with a slash"
        )


def _review_targets(
    subject: str, route: Route, table: RouteTable
) -> t.Iterator[Finding]:
    for service, weight in route.targets:
        if service not in table.services:
            yield _make_warning(
                subject,
                f"service {service!r} is not defined; its requests are refused; "
                "define it or name another",
            )
        if weight <= 0.0 and len(route.targets) > 1:
            yield _make_warning(
                subject, f"service {service!r} gets nothing by its weight; remove it"
            )


def _review_times(subject: str, route: Route) -> t.Iterator[Finding]:
    if route.first_byte_target > route.timeout:
        yield _make_warning(
            subject,
            f"its target of {route.first_byte_target:g} s is longer than its timeout "
            f"of {route.timeout:g} s; shorten the target",
        )
    if route.streaming and route.event_gap_target > route.timeout:
        yield _make_warning(
            subject,
            f"its pause of {route.event_gap_target:g} s between events is longer than "
            f"its timeout of {route.timeout:g} s; shorten the pause",
        )
    if route.max_upstreams > 1 and not route.idempotent:
        yield _make_warning(
            subject,
            f"allows {route.max_upstreams} upstreams, but what may not run twice is "
            "sent to a second one only if the first has rejected it",
        )


def _review_services(table: RouteTable) -> t.Iterator[Finding]:
    named = {service for route in table.routes for service, _ in route.targets}
    for service in table.services.values():
        subject = f"service {service.name}"
        if service.name not in named:
            yield _make_warning(
                subject, "no route leads to it; remove it or add a route"
            )
        if service.max_connections < 1:
            yield _make_warning(subject, "allows no connection; allow one at least")
        if service.engine is not None:
            yield from _review_engine(subject, service, service.engine)


def _review_engine(
    subject: str, service: ServiceSpec, profile: EngineProfile
) -> t.Iterator[Finding]:
    if service.max_connections < profile.slots:
        yield _make_warning(
            subject,
            f"allows {service.max_connections} connections for {profile.slots} slots; "
            "the other slots are never used",
        )
    for name, kind in profile.kinds.items():
        if kind.memory < profile.layer_bytes + profile.token_bytes:
            yield _make_warning(
                subject,
                f"accelerators of kind {name} have no memory for a layer and a token; "
                "they are never used",
            )


def _review_accounts(document: RoutingDocument) -> t.Iterator[Finding]:
    holders: dict[str, str] = {}
    for account in document.accounts:
        subject = f"account {account.name}"
        if not account.keys:
            yield _make_warning(subject, "has no key, so nobody can use it; add one")
        for position, key in enumerate(account.keys, start=1):
            holder = holders.setdefault(key, account.name)
            if holder == account.name and key not in account.keys[: position - 1]:
                continue
            yield _make_warning(
                subject,
                f"key {position} is listed before, for account {holder}; the last "
                "account that lists it gets its requests; remove one",
            )
    if document.table.needs_key and not holders:
        yield _make_warning("accounts", "none has a key, so all requests are refused")


def _review_limits(table: RouteTable) -> t.Iterator[Finding]:
    limits = table.limits
    for name, value in (
        ("header bytes", limits.header_bytes),
        ("body bytes", limits.body_bytes),
        ("header timeout", limits.header_timeout),
        ("idle timeout", limits.idle_timeout),
    ):
        if value <= 0:
            yield _make_warning(
                "limits", f"{name} of {value:g} let no request in; raise them"
            )
    if 0 < limits.idle_timeout < limits.header_timeout:
        yield _make_warning(
            "limits",
            f"the idle timeout of {limits.idle_timeout:g} s is shorter than the header "
            f"timeout of {limits.header_timeout:g} s",
        )
