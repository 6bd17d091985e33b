"""One router node as a state machine: events in, actions out."""

import random
import typing as t
from dataclasses import dataclass, field, replace

from tarragonrudder.core.admission.admission import Admission
from tarragonrudder.core.admission.attempt_observer import AttemptObserver
from tarragonrudder.core.admission.rate_limiter import RateLimiter
from tarragonrudder.core.admission.retry_budget import RetryBudget, WorkBudget
from tarragonrudder.core.answers.answers import Answers
from tarragonrudder.core.answers.quarantine import QUARANTINE_TIMER, Quarantine
from tarragonrudder.core.calls.record_layout import RecordOptions
from tarragonrudder.core.calls.service_calls import ServiceCalls
from tarragonrudder.core.configuration.configuration_control import ConfigurationControl
from tarragonrudder.core.domain.action import (
    Action,
    LogDecision,
    SetTimer,
    StopNode,
)
from tarragonrudder.core.domain.event import (
    AttemptEnded,
    AttemptFailed,
    CacheChanged,
    CallerDisconnected,
    ChatRequested,
    EngineStateRead,
    Event,
    LoadReported,
    NodesListed,
    OrderAnswered,
    OutcomeRead,
    PeerMessageReceived,
    PeerMessageUndelivered,
    ServiceAnswered,
    ServiceFailed,
    ServiceRequested,
    StopRequested,
    TimerFired,
    TokensArrived,
    UpstreamProbed,
    VmsListed,
)
from tarragonrudder.core.domain.fleet import Configuration
from tarragonrudder.core.domain.message import (
    Fact,
    Facts,
    RecordDecided,
    RecordSubmitted,
    UpstreamLeaving,
)
from tarragonrudder.core.domain.platform_event import (
    KeyRead,
    LeaseGranted,
    PlatformCallFailed,
    SwapConflicted,
    SwapOutcomeUnknown,
    Swapped,
)
from tarragonrudder.core.membership.gossip import TIMER as GOSSIP_TIMER
from tarragonrudder.core.membership.gossip import Gossip
from tarragonrudder.core.membership.membership import Membership
from tarragonrudder.core.node.drain import Drain
from tarragonrudder.core.node.intake import Intake
from tarragonrudder.core.placement.planner import Planner, PlannerEvent
from tarragonrudder.core.selection.plan_cache import PlanCache
from tarragonrudder.core.selection.selector import Selector

TICK_PERIOD = 1.0  # seconds between two runs of periodic work


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Settings of a node.

    Attributes
    ----------
    balancer_lag : float
        Seconds for which the load balancer may still send work after ``/readyz``
        turned false.
    records : RecordOptions
        Layout and sizes of the store for action records.
    """

    name: str
    data_center: str
    balancer_lag: float = 2.0
    records: RecordOptions = field(default_factory=RecordOptions)


class Node:
    """All decisions of one node; the driver carries out its actions."""

    def __init__(
        self,
        options: NodeOptions,
        source: random.Random,
        make_selector: t.Callable[..., Selector] = Selector,
    ) -> None:
        self._options = options
        self._drain = Drain(options.balancer_lag)
        self.control = ConfigurationControl(options.name, source)
        self.adoption = self.control.adoption
        self.gossip = Gossip(source)
        self.membership = Membership(options.name, self.gossip)
        plans = PlanCache()
        self.selector = make_selector(options.data_center, source, plans)
        self.rate_limiter = RateLimiter(options.name)
        self.admission = Admission(plans)
        self.observer = AttemptObserver()
        self.planner = Planner(options.name, self.membership)
        self.quarantine = Quarantine(self.gossip)
        self.retry_budget = RetryBudget()
        self.work_budget = WorkBudget()
        self.answers = Answers(
            self.membership, self.selector, self.quarantine, self.work_budget
        )
        self.calls = ServiceCalls(
            self.membership, self.retry_budget, options.name, options.records
        )
        self._intake = Intake(
            self.adoption,
            self._drain,
            self.rate_limiter,
            self.quarantine,
            self.admission,
            self.observer,
            self.answers,
            self.calls,
        )

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.adoption.configuration

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send work."""
        return not self._drain.begun and self.configuration.generation > 0

    @property
    def stopping(self) -> bool:
        """Whether shutdown was requested."""
        return self._drain.begun

    @property
    def in_flight(self) -> int:
        """Requests that have not ended."""
        return len(self._intake)

    def start(self, now: float) -> list[Action]:
        """Start periodic work."""
        actions: list[Action] = [SetTimer("tick", now + TICK_PERIOD)]
        actions.extend(self.control.start(now))
        return actions

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions.

        Parameters
        ----------
        event : Event
            Event from the driver.
        now : float
            Seconds on a monotonic clock.

        Returns
        -------
        list of Action
            Actions to be carried out in order.
        """
        self._observe(event, now)
        actions = self._dispatch(event, now)
        actions.extend(self.answers.fail_blocked(now))
        actions.extend(self.rate_limiter.flush(now))
        actions.extend(self.calls.keyed.handle_results(now))
        actions.extend(self._intake.advance(now))
        if self._drain.is_closed(now) and self.in_flight == 0:
            actions.append(StopNode())
        self.observer.observe_actions(actions, now)
        return actions

    def _observe(self, event: Event, now: float) -> None:
        """Update load estimates from the times between tokens."""
        observation = self.observer.observe_event(event, now)
        if observation is None:
            return
        self.admission.observe(observation)
        if not observation.first:
            self.selector.observe_gap(observation.chain, observation.seconds, now)

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        # Checked first, as most events are tokens.
        if isinstance(event, TokensArrived):
            return self.answers.handle_tokens(event, now)
        if self.control.handles(event):
            return self._handle_control(event, now)
        match event:
            case AttemptEnded():
                return self.answers.handle_end(event, now)
            case AttemptFailed():
                return self.answers.handle_failure(event, now)
            case ChatRequested():
                return self._intake.accept_chat(event, now)
            case ServiceRequested():
                return self._intake.accept_service(event, now)
            case ServiceAnswered():
                return self.calls.handle_response(event, now)
            case ServiceFailed():
                return self.calls.handle_failure(event, now)
            case OutcomeRead():
                return self.calls.handle_outcome(event, now)
            case CallerDisconnected():
                return self._intake.cancel(event.request, now)
            case LoadReported():
                self.selector.handle_load_report(event, now)
            case CacheChanged():
                self.selector.handle_cache_change(event, now)
            case VmsListed():
                return self.membership.handle_vms(event, now)
            case UpstreamProbed():
                actions = self.answers.handle_probe(event, now)
                actions.extend(self.membership.handle_probe(event, now))
                return actions
            case NodesListed():
                self._set_nodes(event, now)
            case (
                KeyRead()
                | Swapped()
                | SwapConflicted()
                | SwapOutcomeUnknown()
                | PlatformCallFailed()
            ) if event.tag.startswith("record:"):
                return self.calls.recorder.handle_platform(event, now)
            case PeerMessageUndelivered(message=message):
                self.rate_limiter.handle_undelivered(event.node, message, now)
                return self.calls.recorder.handle_undelivered(message, now)
            case PeerMessageReceived():
                return self._handle_peer(event, now)
            case OrderAnswered() | EngineStateRead():
                return self.planner.handle(event, now)
            case (
                LeaseGranted()
                | PlatformCallFailed()
                | KeyRead()
                | SwapConflicted()
                | SwapOutcomeUnknown()
                | Swapped()
            ) if event.tag.startswith("planner-"):
                return self._handle_planner(event, now)
            case TimerFired():
                return self._handle_timer(event.timer, now)
            case StopRequested():
                return self._begin_drain(now)
        return []

    def _handle_control(self, event: Event, now: float) -> list[Action]:
        before = self.configuration
        actions = self.control.handle(event, now)
        configuration = self.configuration
        if configuration is before:
            return actions
        self.planner.configure(configuration)
        self._place_engines()
        self.rate_limiter.configure(self.adoption.index.accounts)
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
        """Apply the engines as the placement record lists them."""
        engines = self.planner.place_engines()
        self.membership.configure(engines)
        self.selector.configure(replace(self.configuration, engines=engines))
        self.answers.configure(engines)

    def _set_nodes(self, event: NodesListed, now: float) -> None:
        self.membership.set_nodes(event.nodes)
        self.rate_limiter.set_nodes(event.nodes, now)
        self.planner.set_nodes(node.name for node in event.nodes)
        self.control.set_nodes(event)
        self.admission.set_node_count(len(event.nodes))
        self.selector.set_node_count(len(event.nodes))
        self.calls.recorder.set_nodes(event.nodes)

    def _handle_peer(self, event: PeerMessageReceived, now: float) -> list[Action]:
        match event.message:
            case Facts(facts=facts):
                actions: list[Action] = []
                for fact in facts:
                    actions.extend(self._merge_fact(fact, now))
                return actions
            case RecordSubmitted() | RecordDecided() as message:
                return self.calls.recorder.handle_peer(event.node, message, now)
        return self.rate_limiter.handle_peer(event.node, event.message, now)

    def _merge_fact(self, fact: Fact, now: float) -> list[Action]:
        match fact:
            case UpstreamLeaving(upstream=upstream, age=age):
                return self.membership.mark_leaving(upstream, now, age)
        return self.quarantine.merge(fact, now)

    def _handle_timer(self, timer: str, now: float) -> list[Action]:
        if timer.startswith("answer-"):
            return self.answers.handle_timer(timer, now)
        if timer.startswith("record-"):
            return self.calls.recorder.handle_timer(timer, now)
        if timer.startswith("call-"):
            return self.calls.keyed.handle_timer(timer, now)
        if timer == "tick":
            return self._tick(now)
        if timer == GOSSIP_TIMER:
            return self.gossip.handle_timer(now)
        if timer.startswith(QUARANTINE_TIMER):
            return self.quarantine.handle_timer(now)
        return []

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = [SetTimer("tick", now + TICK_PERIOD)]
        actions.extend(self.rate_limiter.tick(now))
        actions.extend(self.planner.tick(now))
        actions.extend(self.membership.tick(now))
        self.quarantine.tick(now)
        self.answers.tick(now)
        return actions

    def _begin_drain(self, now: float) -> list[Action]:
        closed_at = self._drain.begin(now)
        return [
            LogDecision("stop_requested", {"in_flight": self.in_flight}),
            SetTimer("stop", closed_at),
            *self.planner.stop(),
        ]
