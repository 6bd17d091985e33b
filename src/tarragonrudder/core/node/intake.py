"""Checks, admission and queueing of requests until they start."""

from tarragonrudder.core.admission.admission import (
    Admission,
    Admitted,
    Rejected,
    Ticket,
)
from tarragonrudder.core.admission.attempt_observer import AttemptObserver
from tarragonrudder.core.admission.rate_limiter import RateLimiter
from tarragonrudder.core.answers.answers import Answers
from tarragonrudder.core.answers.quarantine import Quarantine
from tarragonrudder.core.calls.service_calls import ServiceCalls
from tarragonrudder.core.configuration.adoption import Adoption
from tarragonrudder.core.domain.action import Action, FailAnswer
from tarragonrudder.core.domain.event import ChatRequested, ServiceRequested
from tarragonrudder.core.domain.fleet import ClientAccount, Model
from tarragonrudder.core.node.drain import Drain
from tarragonrudder.errors import NotFound, Problem, Quarantined, RateLimited


class Intake:
    """Accepts requests and starts them once admission lets them run.

    A request refused here was never sent to an upstream.
    """

    def __init__(
        self,
        adoption: Adoption,
        drain: Drain,
        rate_limiter: RateLimiter,
        quarantine: Quarantine,
        admission: Admission,
        observer: AttemptObserver,
        answers: Answers,
        calls: ServiceCalls,
    ) -> None:
        self._adoption = adoption
        self._drain = drain
        self._rate_limiter = rate_limiter
        self._quarantine = quarantine
        self._admission = admission
        self._observer = observer
        self._answers = answers
        self._calls = calls
        self._chats: dict[str, ChatRequested] = {}

    def __len__(self) -> int:
        return len(self._chats) + len(self._calls)

    def accept_chat(self, chat: ChatRequested, now: float) -> list[Action]:
        """Start, queue or refuse a chat request."""
        account = self._adoption.index.find_account(chat.account)
        model = self._find_model(chat.model_name)
        if account is None or model is None:
            problem = NotFound(f"there is no model {chat.model_name!r}; ask /v1/models")
            return [FailAnswer(chat.request, problem)]
        refusal = self._check_drain_and_limit(account, now)
        if refusal is None:
            refusal = self._check_quarantine(chat.fingerprint, now)
        if refusal is not None:
            return [FailAnswer(chat.request, refusal)]
        ticket = self._make_ticket(chat, account, model, now)
        decision = self._admission.offer(ticket, now)
        match decision:
            case Rejected():
                return [FailAnswer(chat.request, decision.problem)]
            case Admitted():
                self._chats[chat.request] = chat
                return self._answers.begin(chat, ticket, now)
        self._chats[chat.request] = chat
        return []

    def accept_service(self, event: ServiceRequested, now: float) -> list[Action]:
        """Start or refuse a call to a plain service."""
        account = self._adoption.index.find_account(event.account)
        if account is None:
            problem: Problem = NotFound("the client account is gone; use another key")
            return [FailAnswer(event.request, problem)]
        refusal = self._check_drain_and_limit(account, now)
        if refusal is not None:
            return [FailAnswer(event.request, refusal)]
        return self._calls.begin(event, now)

    def cancel(self, request: str, now: float) -> list[Action]:
        """Cancel a request whose caller disconnected."""
        actions = self._answers.cancel(request, now)
        actions.extend(self._calls.cancel(request, now))
        if self._chats.pop(request, None) is not None:
            self._admission.release(request, 0, now)
        return actions

    def advance(self, now: float) -> list[Action]:
        """Release ended requests, refuse expired ones and start admitted ones."""
        actions: list[Action] = []
        for request, tokens in self._answers.take_ended():
            self._chats.pop(request, None)
            self._observer.forget(request)
            self._admission.release(request, tokens, now)
        for ticket in self._admission.take_expired(now):
            problem = self._admission.describe_refusal(ticket, now)
            actions.append(FailAnswer(ticket.request, problem))
            self._chats.pop(ticket.request, None)
        for ticket in self._admission.take_ready(now):
            chat = self._chats[ticket.request]
            actions.extend(self._answers.begin(chat, ticket, now))
        return actions

    def _find_model(self, name: str) -> Model | None:
        route = self._adoption.index.find_model_route(name)
        if route is None:
            return None
        return self._adoption.configuration.find_model(route.model, route.version)

    def _make_ticket(
        self, chat: ChatRequested, account: ClientAccount, model: Model, now: float
    ) -> Ticket:
        priority = self._adoption.configuration.find_priority(account.priority)
        return Ticket(
            chat.request,
            account,
            priority,
            model,
            chat.max_tokens,
            now,
            now + priority.deadline,
        )

    def _check_drain_and_limit(
        self, account: ClientAccount, now: float
    ) -> Problem | None:
        if self._drain.is_closed(now):
            return self._drain.refuse()
        wait = self._rate_limiter.take(account, now)
        if wait > 0:
            return RateLimited(
                "the account is over its limit; slow down", retry_after=wait
            )
        return None

    def _check_quarantine(self, fingerprint: str, now: float) -> Problem | None:
        remaining = self._quarantine.get_remaining_block(fingerprint, now)
        if remaining > 0:
            return Quarantined(
                "this request crashed upstreams; change it or wait",
                retry_after=remaining,
            )
        return None
