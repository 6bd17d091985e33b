"""Choice among the upstreams of a plain service."""

import typing as t

from tarragonrudder.core.domain.action import Action
from tarragonrudder.core.domain.failure import Expired, Failure, Refused, Unreachable
from tarragonrudder.core.domain.fleet import Configuration, ServiceInstance
from tarragonrudder.core.membership.membership import Membership


class ServicePool:
    """The upstreams of all plain services, taken in turn."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._services: tuple[ServiceInstance, ...] = ()
        self._turn = 0

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""
        self._services = configuration.services

    def choose(
        self, name: str, tried: t.Container[str], now: float
    ) -> ServiceInstance | None:
        """Return the next usable upstream that was not tried, or None."""
        unusable = self._membership.unusable(now)
        candidates = []
        for service in self._services:
            if service.service != name or service.name in unusable:
                continue
            if service.name not in tried:
                candidates.append(service)
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]

    def list_askable(self, name: str) -> list[ServiceInstance]:
        """Return the upstreams that tell the outcomes of a service's calls."""
        askable = []
        for service in self._services:
            if service.service == name and service.outcome_path is not None:
                askable.append(service)
        return askable


def is_not_run(failure: Failure) -> bool:
    """Tell whether a failure shows that the upstream did not run the call."""
    return isinstance(failure, Unreachable | Refused | Expired)


def note_failure(
    membership: Membership, upstream: str, failure: Failure, now: float
) -> list[Action]:
    """Give an upstream that failed no new work for a time."""
    match failure:
        case Expired():
            return []
        case Refused(leaving=True):
            return membership.mark_leaving(upstream, now)
    return membership.mark_failed(upstream, now)
