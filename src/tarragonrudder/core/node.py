"""One router process as a plain object: events in, actions out."""

import random
import typing as t
from dataclasses import dataclass, field, replace

from tarragonrudder.core.action import (
    Action,
    FailAnswer,
    LogDecision,
    SetTimer,
    StopNode,
)
from tarragonrudder.core.admission import Admission, Admitted, Rejected, Ticket
from tarragonrudder.core.answer import Answers
from tarragonrudder.core.budget import RetryBudget, WorkBudget
from tarragonrudder.core.call import Calls
from tarragonrudder.core.configuration import ConfigurationControl
from tarragonrudder.core.event import (
    AttemptEnded,
    AttemptFailed,
    CacheChanged,
    CallerGone,
    ChatRequested,
    Event,
    HoldingRead,
    LeaseGranted,
    LoadReported,
    NodesListed,
    OrderAnswered,
    OutcomeRead,
    PeerLost,
    PeerReached,
    PlatformFailed,
    PlatformValue,
    ServiceAnswered,
    ServiceFailed,
    ServiceRequested,
    StopRequested,
    SwapConflicted,
    SwapLost,
    Swapped,
    TimerFired,
    TokensArrived,
    UpstreamProbed,
    VmsListed,
)
from tarragonrudder.core.fleet import ClientAccount, Configuration
from tarragonrudder.core.gossip import TIMER as GOSSIP_TIMER
from tarragonrudder.core.gossip import Gossip
from tarragonrudder.core.layout import RecordOptions
from tarragonrudder.core.limit import Limits
from tarragonrudder.core.membership import Membership
from tarragonrudder.core.message import (
    Fact,
    Facts,
    RecordDecided,
    RecordSubmitted,
    UpstreamLeaving,
)
from tarragonrudder.core.observation import AttemptObserver
from tarragonrudder.core.planner import Planner, PlannerEvent
from tarragonrudder.core.plans import Plans
from tarragonrudder.core.quarantine import TIMER as QUARANTINE_TIMER
from tarragonrudder.core.quarantine import Quarantine
from tarragonrudder.core.selection import Selector
from tarragonrudder.errors import (
    NotFound,
    Quarantined,
    RateLimited,
    Stopping,
)

TICK_PERIOD = 1.0  # seconds between periodic work
STOPPING_RETRY_AFTER = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """What a node learns from its settings.

    Attributes
    ----------
    balancer_lag : float
        Seconds for which the balancer may still send work after ``/readyz``
        turned false.
    records : RecordOptions
        Sizes of the action records' storage.
    """

    name: str
    data_center: str
    balancer_lag: float = 2.0
    records: RecordOptions = field(default_factory=RecordOptions)


class Node:
    """The decisions of one node; the driver translates its actions."""

    def __init__(
        self,
        options: NodeOptions,
        source: random.Random,
        make_selector: t.Callable[..., Selector] = Selector,
    ) -> None:
        self._options = options
        self._stop_at: float | None = None
        self._chats: dict[str, ChatRequested] = {}
        self.control = ConfigurationControl(options.name, source)
        self.adoption = self.control.adoption
        self.gossip = Gossip(source)
        self.membership = Membership(options.name, self.gossip)
        plans = Plans()
        self.selector = make_selector(options.data_center, source, plans)
        self.limits = Limits(options.name)
        self.admission = Admission(plans)
        self.observer = AttemptObserver()
        self.planner = Planner(options.name, self.membership)
        self.quarantine = Quarantine(self.gossip)
        self.budget = RetryBudget()
        self.work_budget = WorkBudget()
        self.answers = Answers(
            self.membership, self.selector, self.quarantine, self.work_budget
        )
        self.calls = Calls(self.membership, self.budget, options.name, options.records)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.adoption.configuration

    @property
    def ready(self) -> bool:
        """Whether the balancer may send work."""
        return self._stop_at is None and self.configuration.generation > 0

    @property
    def stopping(self) -> bool:
        """Whether the node was told to shut down."""
        return self._stop_at is not None

    @property
    def in_flight(self) -> int:
        """Requests that have not ended."""
        return len(self._chats) + len(self.calls)

    def start(self, now: float) -> list[Action]:
        """Begin periodic work."""
        actions: list[Action] = [SetTimer("tick", now + TICK_PERIOD)]
        actions.extend(self.control.start(now))
        return actions

    def handle(self, event: Event, now: float) -> list[Action]:
        """Decide what to do about an event.

        Parameters
        ----------
        event : Event
            What happened.
        now : float
            Seconds on a clock that never goes back.

        Returns
        -------
        list of Action
            To be carried out in order.
        """
        self._observe(event, now)
        actions = self._dispatch(event, now)
        actions.extend(self.answers.refuse_blocked(now))
        actions.extend(self._settle(now))
        self.observer.note_actions(actions, now)
        return actions

    def _observe(self, event: Event, now: float) -> None:
        """Learn from the pace of tokens how busy the fleet is."""
        observation = self.observer.note_event(event, now)
        if observation is None:
            return
        self.admission.observe(observation)
        if not observation.first:
            self.selector.observe_gap(observation.chain, observation.seconds, now)

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        if self.control.handles(event):
            return self._control(event, now)
        match event:
            case TokensArrived():
                return self.answers.merge_tokens(event, now)
            case AttemptEnded():
                return self.answers.merge_end(event, now)
            case AttemptFailed():
                return self.answers.merge_failure(event, now)
            case ChatRequested():
                return self._accept_chat(event, now)
            case ServiceRequested():
                return self._accept_service(event, now)
            case ServiceAnswered():
                return self.calls.merge_answer(event, now)
            case ServiceFailed():
                return self.calls.merge_failure(event, now)
            case OutcomeRead():
                return self.calls.merge_outcome(event, now)
            case CallerGone():
                return self._drop(event.request, now)
            case LoadReported():
                self.selector.merge_load(event, now)
            case CacheChanged():
                self.selector.merge_cache(event, now)
            case VmsListed():
                return self.membership.merge_vms(event, now)
            case UpstreamProbed():
                actions = self.answers.merge_probe(event, now)
                actions.extend(self.membership.merge_probe(event, now))
                return actions
            case NodesListed():
                self.membership.set_nodes(event.nodes)
                self.limits.set_nodes(event.nodes, now)
                self.planner.set_nodes(node.name for node in event.nodes)
                self.control.set_nodes(event)
                self.admission.set_node_count(len(event.nodes))
                self.selector.set_node_count(len(event.nodes))
                self.calls.recorder.set_nodes(event.nodes)
            case (
                PlatformValue()
                | Swapped()
                | SwapConflicted()
                | SwapLost()
                | PlatformFailed()
            ) if event.tag.startswith("record:"):
                return self.calls.recorder.handle_platform(event, now)
            case PeerLost(message=message):
                self.limits.handle_lost(event.node, message, now)
                return self.calls.recorder.handle_lost(message, now)
            case PeerReached():
                return self._hear(event, now)
            case OrderAnswered() | HoldingRead():
                return self.planner.handle(event, now)
            case (
                LeaseGranted()
                | PlatformFailed()
                | PlatformValue()
                | SwapConflicted()
                | SwapLost()
                | Swapped()
            ) if event.tag.startswith("planner-"):
                return self._handle_planner(event, now)
            case TimerFired():
                return self._fire(event.timer, now)
            case StopRequested():
                return self._stop(now)
        return []

    def _accept_chat(self, chat: ChatRequested, now: float) -> list[Action]:
        account = self.adoption.index.find_account(chat.account)
        model = None
        for route in self.configuration.model_routes:
            if route.name == chat.route:
                model = self.configuration.find_model(route.model, route.version)
        if account is None or model is None:
            problem = NotFound(f"there is no model {chat.route!r}; ask /v1/models")
            return [FailAnswer(chat.request, problem)]
        actions = self._check_gates(chat.request, account, now)
        if actions:
            return actions
        blocked = self.quarantine.check(chat.fingerprint, now)
        if blocked > 0:
            refused = Quarantined(
                "this request crashed upstreams; change it or wait", retry_after=blocked
            )
            return [FailAnswer(chat.request, refused)]
        priority = self.configuration.find_priority(account.priority)
        ticket = Ticket(
            chat.request,
            account,
            priority,
            model,
            chat.max_tokens,
            now,
            now + priority.deadline,
        )
        verdict = self.admission.offer(ticket, now)
        match verdict:
            case Rejected():
                return [FailAnswer(chat.request, verdict.problem)]
            case Admitted():
                self._chats[chat.request] = chat
                return self.answers.begin(chat, ticket, now)
        self._chats[chat.request] = chat
        return []

    def _accept_service(self, event: ServiceRequested, now: float) -> list[Action]:
        account = self.adoption.index.find_account(event.account)
        if account is None:
            return [FailAnswer(event.request, NotFound("the account is gone"))]
        actions = self._check_gates(event.request, account, now)
        if actions:
            return actions
        return self.calls.begin(event, now)

    def _check_gates(
        self, request: str, account: ClientAccount, now: float
    ) -> list[Action]:
        if self._stop_at is not None and now >= self._stop_at:
            problem = Stopping(
                "this node is shutting down; send it again",
                retry_after=STOPPING_RETRY_AFTER,
            )
            return [FailAnswer(request, problem)]
        wait = self.limits.take(account, now)
        if wait > 0:
            limited = RateLimited(
                "the account is over its limit; slow down", retry_after=wait
            )
            return [FailAnswer(request, limited)]
        return []

    def _drop(self, request: str, now: float) -> list[Action]:
        actions = self.answers.cancel(request, now)
        actions.extend(self.calls.cancel(request, now))
        if self._chats.pop(request, None) is not None:
            self.admission.release(request, 0, now)
        return actions

    def _control(self, event: Event, now: float) -> list[Action]:
        before = self.configuration
        actions = self.control.handle(event, now)
        configuration = self.configuration
        if configuration is before:
            return actions
        self.planner.configure(configuration)
        self._place_engines()
        self.limits.configure(self.adoption.index.accounts)
        self.admission.configure(configuration)
        self.calls.configure(configuration)
        return actions

    def _handle_planner(self, event: PlannerEvent, now: float) -> list[Action]:
        before = self.planner.revision
        actions = self.planner.handle(event, now)
        if self.planner.revision != before:
            self._place_engines()
        return actions

    def _place_engines(self) -> None:
        """Use the engines as the placement record has them."""
        engines = self.planner.place_engines()
        self.membership.configure(engines)
        self.selector.configure(replace(self.configuration, engines=engines))
        self.answers.configure(engines)

    def _hear(self, event: PeerReached, now: float) -> list[Action]:
        match event.message:
            case Facts(facts=facts):
                actions: list[Action] = []
                for fact in facts:
                    actions.extend(self._learn(fact, now))
                return actions
            case RecordSubmitted() | RecordDecided() as message:
                return self.calls.recorder.handle_peer(event.node, message, now)
        return self.limits.handle_peer(event.node, event.message, now)

    def _learn(self, fact: Fact, now: float) -> list[Action]:
        match fact:
            case UpstreamLeaving(upstream=upstream, age=age):
                return self.membership.mark_leaving(upstream, now, age)
        return self.quarantine.merge(fact, now)

    def _fire(self, timer: str, now: float) -> list[Action]:
        if timer.startswith("answer-"):
            return self.answers.fire(timer, now)
        if timer.startswith("record-"):
            return self.calls.recorder.fire(timer, now)
        if timer.startswith("call-"):
            return self.calls.keyed.fire(timer, now)
        if timer == "tick":
            actions: list[Action] = [SetTimer("tick", now + TICK_PERIOD)]
            actions.extend(self.limits.tick(now))
            actions.extend(self.planner.tick(now))
            actions.extend(self.membership.tick(now))
            self.quarantine.tick(now)
            self.answers.tick(now)
            return actions
        if timer == GOSSIP_TIMER:
            return self.gossip.fire(now)
        if timer.startswith(QUARANTINE_TIMER):
            return self.quarantine.fire(now)
        return []

    def _stop(self, now: float) -> list[Action]:
        if self._stop_at is None:
            self._stop_at = now + self._options.balancer_lag
        return [
            LogDecision("stop_requested", {"in_flight": self.in_flight}),
            SetTimer("stop", self._stop_at),
            *self.planner.stop(),
        ]

    def _settle(self, now: float) -> list[Action]:
        """End what has ended and start what may start now."""
        actions = self.limits.flush(now)
        actions.extend(self.calls.keyed.settle(now))
        for request, tokens in self.answers.take_ended():
            self._chats.pop(request, None)
            self.observer.forget(request)
            self.admission.release(request, tokens, now)
        for ticket in self.admission.take_expired(now):
            problem = self.admission.refuse(ticket, now)
            actions.append(FailAnswer(ticket.request, problem))
            self._chats.pop(ticket.request, None)
        for ticket in self.admission.take_ready(now):
            chat = self._chats[ticket.request]
            actions.extend(self.answers.begin(chat, ticket, now))
        if self._stop_at is not None and now >= self._stop_at and self.in_flight == 0:
            actions.append(StopNode())
        return actions


def describe_actions(actions: t.Sequence[Action]) -> list[str]:
    """Return the names of the actions' types, for tests and traces."""
    return [type(action).__name__ for action in actions]
