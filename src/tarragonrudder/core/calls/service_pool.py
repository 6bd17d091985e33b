"""Upstream selection for plain services."""

import typing as t

from tarragonrudder.core.domain.action import Action
from tarragonrudder.core.domain.failure import Expired, Failure, Refused, Unreachable
from tarragonrudder.core.domain.fleet import Configuration, ServiceInstance
from tarragonrudder.core.membership.membership import Membership


class ServicePool:
    """The upstreams of all plain services, chosen round-robin."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._services: tuple[ServiceInstance, ...] = ()
        self._choice_count = 0

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._services = configuration.services

    def choose(
        self, name: str, tried: t.Container[str], now: float
    ) -> ServiceInstance | None:
        """Return the next usable upstream not in `tried`, or None."""
        unusable = self._membership.list_unusable(now)
        candidates = []
        for service in self._services:
            if service.service != name or service.name in unusable:
                continue
            if service.name not in tried:
                candidates.append(service)
        if not candidates:
            return None
        self._choice_count += 1
        return candidates[self._choice_count % len(candidates)]

    def list_queryable(self, name: str) -> list[ServiceInstance]:
        """Return the upstreams of a service that can be queried for outcomes."""
        query_targets = []
        for service in self._services:
            if service.service == name and service.outcome_path is not None:
                query_targets.append(service)
        return query_targets


def is_not_run(failure: Failure) -> bool:
    """Return whether a failure shows that the upstream did not run the call."""
    return isinstance(failure, Unreachable | Refused | Expired)


def mark_failed_upstream(
    membership: Membership, upstream: str, failure: Failure, now: float
) -> list[Action]:
    """Mark a failed upstream, so that it gets no new calls for a time."""
    match failure:
        case Expired():
            return []
        case Refused(leaving=True):
            return membership.mark_leaving(upstream, now)
    return membership.mark_failed(upstream, now)
