"""Findings in a folder's configuration that is valid, but partly without effect."""

import typing as t

from tarragonrudder.core.configuration.route_review import Finding
from tarragonrudder.core.domain.fleet import ClientAccount, Configuration

DEFAULT_PRIORITY = "normal"


def review_folder(configuration: Configuration) -> list[Finding]:
    """Return what has no effect, or contradicts itself, in a valid configuration."""
    findings = [*_review_accounts(configuration)]
    findings.extend(_review_priorities(configuration))
    findings.extend(_review_models(configuration))
    return findings


def _make_warning(subject: str, message: str) -> Finding:
    return Finding(False, subject, message)


def _review_accounts(configuration: Configuration) -> t.Iterator[Finding]:
    for account in configuration.accounts:
        subject = f"account:{account.name}"
        if account.burst < 1.0:
            yield _make_warning(
                subject,
                f"burst {account.burst:g} is below one request, the least that nodes "
                "let in at once; write 1 or more",
            )
        repeated = _count_repeated_keys(account)
        if repeated:
            yield _make_warning(
                subject, f"lists {repeated} key hashes twice; remove them"
            )


def _count_repeated_keys(account: ClientAccount) -> int:
    return len(account.key_hashes) - len(set(account.key_hashes))


def _review_priorities(configuration: Configuration) -> t.Iterator[Finding]:
    used = {account.priority for account in configuration.accounts}
    levels: dict[int, str] = {}
    for priority in configuration.priorities:
        subject = f"priority:{priority.name}"
        if priority.name not in used and priority.name != DEFAULT_PRIORITY:
            yield _make_warning(
                subject, "no account has it; remove it or name it in one"
            )
        other = levels.setdefault(priority.level, priority.name)
        if other != priority.name:
            yield _make_warning(
                subject, f"has the level of {other}; neither goes first"
            )


def _review_models(configuration: Configuration) -> t.Iterator[Finding]:
    used = {(route.model, route.version) for route in configuration.model_routes}
    used.update((hours.model, hours.version) for hours in configuration.busy_hours)
    routed = {(route.model, route.version) for route in configuration.model_routes}
    for model in configuration.models:
        if (model.name, model.version) not in used:
            subject = f"model:{model.name}@{model.version}"
            yield _make_warning(
                subject, "no route leads to it; add one or remove the model"
            )
    for hours in configuration.busy_hours:
        if (hours.model, hours.version) not in routed:
            subject = f"busy-hours:{hours.name}"
            yield _make_warning(
                subject, "no route leads to its model, so nobody can ask for it"
            )
