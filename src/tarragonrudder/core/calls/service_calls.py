"""Calls to plain services without a call record.

Calls with an idempotent method are retried on other upstreams. A non-idempotent
call without an idempotency key is retried only if the failed attempt did not
run. Non-idempotent calls with a key are delegated to ``KeyedCalls``.
"""

from dataclasses import dataclass, field

from tarragonrudder.core.admission.retry_budget import RetryBudget
from tarragonrudder.core.calls.keyed_calls import KeyedCalls
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.recorder import Recorder
from tarragonrudder.core.calls.service_pool import (
    ServicePool,
    is_not_run,
    mark_failed_upstream,
)
from tarragonrudder.core.domain.action import (
    Action,
    AnswerServiceCall,
    CallService,
    FailAnswer,
    LogDecision,
)
from tarragonrudder.core.domain.event import (
    OutcomeRead,
    ServiceAnswered,
    ServiceFailed,
    ServiceRequested,
)
from tarragonrudder.core.domain.fleet import Configuration, ServiceRoute
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.errors import (
    InvalidRequest,
    NotFound,
    OutcomeUnknown,
    RunState,
    UpstreamFailed,
)

MAX_ATTEMPTS = 3  # upstreams tried for one call
MAX_KEY_LENGTH = 255  # characters
NO_UPSTREAM_RETRY_AFTER = 5.0  # seconds


@dataclass(slots=True)
class _Call:
    event: ServiceRequested
    route: ServiceRoute
    idempotent: bool
    attempt: int = 0
    upstream: str = ""
    tried: set[str] = field(default_factory=set)
    run_state: RunState = RunState.NOT_RUN


class ServiceCalls:
    """All calls to plain services that are in flight on this node."""

    def __init__(
        self,
        membership: Membership,
        budget: RetryBudget,
        name: str,
        options: RecordOptions | None = None,
    ) -> None:
        self._membership = membership
        self._budget = budget
        self._pool = ServicePool(membership)
        self._routes: dict[str, ServiceRoute] = {}
        self._calls: dict[str, _Call] = {}
        self.recorder = Recorder(name, options or RecordOptions())
        self.keyed = KeyedCalls(membership, self._pool, budget, self.recorder)

    def __len__(self) -> int:
        return len(self._calls) + len(self.keyed)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._routes = {route.name: route for route in configuration.service_routes}
        self._pool.configure(configuration)

    def begin(self, event: ServiceRequested, now: float) -> list[Action]:
        """Start a caller's call."""
        route = self._routes.get(event.service)
        if route is None:
            problem = NotFound(f"there is no service {event.service!r}; check its name")
            return [FailAnswer(event.request, problem)]
        idempotent = event.method in route.idempotent_methods
        self._budget.deposit()
        if event.key is not None and not idempotent:
            if not 0 < len(event.key) <= MAX_KEY_LENGTH:
                message = f"an Idempotency-Key has 1 to {MAX_KEY_LENGTH} characters"
                return [FailAnswer(event.request, InvalidRequest(message))]
            return self.keyed.begin(event, route, now)
        call = _Call(event, route, idempotent)
        self._calls[event.request] = call
        return self._send(call, now)

    def cancel(self, request: str, now: float) -> list[Action]:
        """Handle a caller's disconnect; calls already sent keep running."""
        self.keyed.cancel(request)
        return []

    def handle_response(self, event: ServiceAnswered, now: float) -> list[Action]:
        """Pass a service's response to the caller."""
        call = self._calls.get(event.request)
        if call is None:
            return self.keyed.handle_response(event, now)
        if call.attempt != event.attempt:
            return []
        del self._calls[event.request]
        return [
            AnswerServiceCall(
                event.request, event.status, event.content_type, event.body
            )
        ]

    def handle_failure(self, event: ServiceFailed, now: float) -> list[Action]:
        """Retry a failed call if that is safe, otherwise return an error."""
        call = self._calls.get(event.request)
        if call is None:
            return self.keyed.handle_failure(event, now)
        if call.attempt != event.attempt:
            return []
        actions = mark_failed_upstream(
            self._membership, call.upstream, event.failure, now
        )
        not_run = is_not_run(event.failure)
        if not not_run:
            call.run_state = RunState.UNKNOWN
        repeatable = call.idempotent or not_run
        if repeatable and call.attempt < MAX_ATTEMPTS and self._budget.withdraw():
            actions.extend(self._send(call, now))
            return actions
        del self._calls[event.request]
        actions.append(FailAnswer(event.request, _make_failure_error(call)))
        return actions

    def handle_outcome(self, event: OutcomeRead, now: float) -> list[Action]:
        """Handle an upstream's reply to an outcome query."""
        return self.keyed.handle_outcome(event, now)

    def _send(self, call: _Call, now: float) -> list[Action]:
        service = self._pool.choose(call.event.service, call.tried, now)
        if service is None:
            del self._calls[call.event.request]
            failed = UpstreamFailed(
                "no upstream of this service is live; come back later",
                call.run_state,
                NO_UPSTREAM_RETRY_AFTER,
            )
            return [FailAnswer(call.event.request, failed)]
        call.attempt += 1
        call.upstream = service.name
        call.tried.add(service.name)
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


def _make_failure_error(call: _Call) -> UpstreamFailed | OutcomeUnknown:
    if call.idempotent or call.run_state is RunState.NOT_RUN:
        message = "the service failed; send it again"
        return UpstreamFailed(message, call.run_state, 1.0)
    return OutcomeUnknown(
        "the call may have run; look up its outcome before sending another",
        RunState.UNKNOWN,
    )
