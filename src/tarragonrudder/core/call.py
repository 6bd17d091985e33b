"""Calls to plain services: repeated where idempotent, else at most once."""

from dataclasses import dataclass

from tarragonrudder.core.action import (
    Action,
    AnswerService,
    CallService,
    FailAnswer,
    LogDecision,
)
from tarragonrudder.core.event import (
    Refused,
    ServiceAnswered,
    ServiceFailed,
    ServiceRequested,
    Unreachable,
)
from tarragonrudder.core.fleet import Configuration, Service, ServiceRoute
from tarragonrudder.core.membership import Membership
from tarragonrudder.errors import (
    NotFound,
    OutcomeUnknown,
    RunState,
    UpstreamFailed,
)

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class _Call:
    event: ServiceRequested
    route: ServiceRoute
    idempotent: bool
    attempt: int = 0
    upstream: str = ""


class Calls:
    """All calls to plain services in flight on this node."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._routes: dict[str, ServiceRoute] = {}
        self._services: tuple[Service, ...] = ()
        self._calls: dict[str, _Call] = {}
        self._turn = 0

    def __len__(self) -> int:
        return len(self._calls)

    def configure(self, configuration: Configuration) -> None:
        """Take a new configuration into use."""
        self._routes = {route.name: route for route in configuration.service_routes}
        self._services = configuration.services

    def begin(self, event: ServiceRequested, now: float) -> list[Action]:
        """Start a caller's call."""
        route = self._routes.get(event.service)
        if route is None:
            problem = NotFound(f"there is no service {event.service!r}; check its name")
            return [FailAnswer(event.request, problem)]
        idempotent = event.method in route.idempotent_methods
        call = _Call(event, route, idempotent)
        self._calls[event.request] = call
        return self._send(call, now)

    def cancel(self, request: str, now: float) -> list[Action]:
        """Forget a call whose caller is gone; what was sent runs on."""
        return []

    def merge_answer(self, event: ServiceAnswered, now: float) -> list[Action]:
        """Pass a service's answer to the caller."""
        call = self._calls.pop(event.request, None)
        if call is None or call.attempt != event.attempt:
            return []
        return [
            AnswerService(event.request, event.status, event.content_type, event.body)
        ]

    def merge_failure(self, event: ServiceFailed, now: float) -> list[Action]:
        """Repeat a call where that is safe, else tell what is known."""
        call = self._calls.get(event.request)
        if call is None or call.attempt != event.attempt:
            return []
        actions = self._membership.mark_failed(call.upstream, now)
        not_run = isinstance(event.failure, Unreachable | Refused)
        if (call.idempotent or not_run) and call.attempt < MAX_ATTEMPTS:
            actions.extend(self._send(call, now))
            return actions
        del self._calls[event.request]
        if not_run or call.idempotent:
            state = RunState.NOT_RUN if not_run else RunState.UNKNOWN
            failed = UpstreamFailed("the service failed; send it again", state, 1.0)
            actions.append(FailAnswer(event.request, failed))
            return actions
        unknown = OutcomeUnknown(
            "the call may have run; look up its outcome before sending another",
            RunState.UNKNOWN,
        )
        actions.append(FailAnswer(event.request, unknown))
        return actions

    def _send(self, call: _Call, now: float) -> list[Action]:
        unusable = self._membership.unusable(now)
        candidates = []
        for service in self._services:
            if service.service == call.event.service and service.name not in unusable:
                candidates.append(service)
        if not candidates:
            del self._calls[call.event.request]
            failed = UpstreamFailed(
                "no upstream of this service is live; come back later",
                RunState.NOT_RUN,
                5.0,
            )
            return [FailAnswer(call.event.request, failed)]
        self._turn += 1
        service = candidates[self._turn % len(candidates)]
        call.attempt += 1
        call.upstream = service.name
        fields = {
            "request": call.event.request,
            "attempt": call.attempt,
            "upstream": service.name,
        }
        return [
            LogDecision("service_chosen", fields),
            CallService(
                call.event.request,
                call.attempt,
                service.name,
                service.address,
                call.route.timeout,
                call.event.key,
            ),
        ]
