"""State and decisions of a node for the forwarding of opaque requests."""

import math
import random
import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.backpressure import Backpressure
from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.forwarded_request import (
    ForwardedRequest,
    Rejected,
    Trait,
)
from tarragonrudder.core.domain.known_nodes import KnownNodes
from tarragonrudder.core.domain.route import Account, Route, RouteTable
from tarragonrudder.core.forwarding.account_shares import AccountShares
from tarragonrudder.core.forwarding.answer_lengths import (
    AnswerLength,
    AnswerLengths,
    Declared,
    LengthKey,
    compute_mean,
    compute_mean_events,
    compute_reserve,
)
from tarragonrudder.core.forwarding.crash_tracker import CrashReport, CrashTracker
from tarragonrudder.core.forwarding.path import (
    Path,
    PathFinder,
    ResourceDemand,
    make_relay_path,
)
from tarragonrudder.core.forwarding.peer_table import PeerTable
from tarragonrudder.core.forwarding.reachability import Finding, Reachability
from tarragonrudder.core.forwarding.room import RoomEstimator
from tarragonrudder.core.forwarding.upstream_gate import Shortage, UpstreamGate
from tarragonrudder.core.forwarding.upstream_limits import LimitReport
from tarragonrudder.core.forwarding.upstream_table import Registration, UpstreamTable
from tarragonrudder.core.forwarding.urgency import Urgencies
from tarragonrudder.core.forwarding.usage_tracker import UsageTracker
from tarragonrudder.core.forwarding.windowed_retry_budget import WindowedRetryBudget
from tarragonrudder.core.selection.slowness import SlownessTracker
from tarragonrudder.errors import (
    NoChain,
    NotFound,
    OutcomeUnknown,
    Overloaded,
    Problem,
    RunState,
    Unauthorized,
    UpstreamFailed,
)

# Part of the first-byte target for which a request waits for a path; the rest is
# enough to prefill its prompt.
PATH_WAIT_SHARE = 0.5
# Seconds for which an interrupted stream waits for a path. Callers give up after two
# seconds of silence.
RESUME_WAIT = 1.2
PATH_POLL_PERIOD = 0.03  # seconds between searches for a path
# Seconds within which a full stage finishes some requests, and a lost one is loaded
# again. Retry-After is drawn from the upper half, so that callers return spread out.
FULL_RETRY_AFTER = 1.5
NO_PATH_RETRY_AFTER = 3.0
CALL_RETRY_AFTER = 0.4
BUDGET_RETRY_AFTER = 1.0  # seconds; the budget's window moves by a tenth meanwhile
MISDIRECTED_PERIOD = 2.0  # seconds in which a stale registration is updated
REJECTED_PERIOD = 0.4  # seconds for which a full or draining stage is avoided
SILENT_PERIOD = 0.5  # seconds in which the first stage is asked for the culprit
# Utilization below which an engine can't be full, even if the load from some nodes
# is not counted yet.
NOT_FULL_THRESHOLD = 0.6
CULPRIT_PERIOD = 2.0  # seconds; a crashed engine takes at least as long to return
# Seconds for which a peer's report of a culprit must still hold to be accepted. Nodes
# that received it earlier drop it a little sooner, and would take it for a new one.
MIN_RELAYED_PERIOD = 0.25
# Events after which an attempt counts as sound. An engine that a request crashes may
# still send what it wrote in its first pass.
SOUND_EVENTS = 4
CUT_MESSAGE = "this node reaches neither upstreams nor a node that has room"
REMOTE_PENALTY = 0.15  # added slot utilization, to prefer the own data centre
LIMITED_PENALTY = 0.3  # added slot utilization, to spare upstreams in need
# Seconds for which a node counts after it was last listed or heard: at least the window
# of the retry budget, and longer than nodes need to register again.
NODE_PERIOD = 10.0
MAX_SHORTAGE_RETRY_AFTER = 30.0  # seconds; other upstreams may have come by then
JITTER = 0.1  # random slot utilization, so that nodes don't all choose alike


@dataclass(frozen=True, slots=True)
class Wait:
    """No path yet; search again at `until`, in seconds on the node's clock.

    Attributes
    ----------
    shortage : str
        What upstreams have asked for that leaves no room; empty if that is not why.
    needs_room : bool
        Whether it waits in line with others for room; it is refused at `until`.
    """

    until: float
    shortage: str = ""
    needs_room: bool = False


class ForwardingState:
    """All decisions on opaque requests; does no I/O."""

    def __init__(
        self,
        node: str,
        data_center: str,
        source: random.Random,
        retry_budget: WindowedRetryBudget,
    ) -> None:
        self._data_center = data_center
        self._random = source
        self.upstream_table = UpstreamTable()
        self.upstream_gate = UpstreamGate(node, self.upstream_table, source)
        self.limits = self.upstream_gate.limits
        self.reachability = Reachability(source)
        self.peer_table = PeerTable(data_center, source)
        self._unconfirmed_crashes: list[tuple[tuple[Trait, ...], str]] = []
        self.usage_tracker = UsageTracker()
        self.urgencies = Urgencies()
        self.account_shares = AccountShares()
        self.room = RoomEstimator(source)
        self.answer_lengths = AnswerLengths()
        self.retry_budget = retry_budget
        self.known_nodes = KnownNodes(node, max(NODE_PERIOD, retry_budget.window))
        self.crash_tracker = CrashTracker()
        self._reported_blocks: frozenset[Trait] = frozenset()
        self.slowness = SlownessTracker()
        self.route_table: RouteTable | None = None
        self._finders: dict[str, PathFinder] = {}
        self._culprits: dict[str, float] = {}
        # Called when peers should learn at once what this node knows.
        self.on_news: t.Callable[[], None] = lambda: None
        # Called with a trait that crashes upstreams, and their number.
        self.on_blocked: t.Callable[[Trait, int], None] = lambda trait, crashes: None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.route_table.version if self.route_table is not None else 0

    @property
    def can_send_directly(self) -> bool:
        """Whether this node may reach an upstream itself."""
        return not self.reachability.is_cut or self.reachability.reaches_some

    def adopt(self, table: RouteTable, is_rewritten: bool = False) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Parameters
        ----------
        is_rewritten : bool
            Whether it also replaces one of the same version.
        """
        known = self.route_table
        if known is not None and (
            table.version < known.version
            or (table.version == known.version and not is_rewritten)
        ):
            return False
        self.route_table = table
        self.urgencies.adopt(table)
        self._finders = {}
        for service in table.services.values():
            if service.engine is not None:
                self._finders[service.name] = PathFinder(
                    service.name,
                    service.engine,
                    self.usage_tracker,
                    self.slowness,
                    self.limits,
                    self._random,
                )
        return True

    def admit(
        self, request: ForwardedRequest, is_relayed: bool = False
    ) -> tuple[Route, Account | None, str] | Problem:
        """Return a request's route, account and service, or the error to refuse it.

        Parameters
        ----------
        is_relayed : bool
            Whether another node has admitted it already, and counted it.
        """
        table = self.route_table
        if table is None:
            return NoChain("no configuration is known yet", retry_after=1.0)
        route = table.find_route(request.host, request.path)
        if route is None:
            return NotFound("no route for this host and path")
        account = table.find_account(request.api_key)
        if account is None and table.needs_key:
            if request.api_key:
                return Unauthorized("the API key is unknown")
            if not route.anonymous:
                return Unauthorized("the API key is missing")
        blocked = self.refuse_blocked(request, False, request.arrived)
        if blocked is not None:
            return blocked
        service = self._pick_service(route)
        if service not in table.services:
            message = "the route's service is not configured"
            return NoChain(message, retry_after=self._add_jitter(NO_PATH_RETRY_AFTER))
        if not is_relayed:
            self.retry_budget.deposit(service, request.arrived)
        return route, account, service

    def note_listed_nodes(self, names: t.Iterable[str], now: float) -> None:
        """Record the names on the store's list of nodes."""
        self.known_nodes.note_listed(names, now)
        self._share_among_nodes(now)

    def note_heard_node(self, name: str, told: int, now: float) -> None:
        """Record a message of a node, and how many nodes it has listed or heard."""
        self.known_nodes.note_heard(name, told, now)
        self._share_among_nodes(now)

    def find_target(self, name: str) -> Registration | None:
        """Return the upstream or other node of a name."""
        return self.upstream_table.find(name) or self.peer_table.find(name)

    def choose_upstream(
        self,
        service: str,
        avoided: t.Container[str],
        now: float,
        is_relayed: bool = False,
    ) -> Registration | None:
        """Return the least loaded upstream of a plain service.

        A node that is cut off from the upstreams returns another node, unless the
        request came from one.
        """
        if self.reachability.prefers_peers(now) and not is_relayed:
            peer = self.peer_table.choose(avoided, now)
            if peer is not None:
                return peer
        if not self.can_send_directly:
            return None
        usable = self.upstream_table.list_usable(service, now, avoided)
        candidates = self.upstream_gate.list_free(usable, now)
        if not candidates:
            ready = self.upstream_table.list_ready(service, avoided)
            candidates = self.upstream_gate.list_free(ready, now)
        best, best_load = None, 0.0
        for upstream in candidates:
            usage = self.usage_tracker.measure(upstream.name)
            load = usage.requests / max(1, upstream.slots)
            load += JITTER * self._random.random()
            if upstream.data_center != self._data_center:
                load += REMOTE_PENALTY
            if upstream.incarnation in self.limits:
                load += LIMITED_PENALTY
            if best is None or load < best_load:
                best, best_load = upstream, load
        return best

    def find_path(
        self,
        request: ForwardedRequest,
        route: Route,
        service: str,
        avoided: frozenset[str],
        first_upstreams: frozenset[str],
        may_have_run: bool,
        waiting_since: float,
        now: float,
        is_relayed: bool = False,
        urgency: int | None = None,
        ahead: int | None = None,
    ) -> Path | Problem | Wait:
        """Return the path of a stream's next attempt, or why there is none.

        Parameters
        ----------
        avoided : frozenset of str
            Upstreams that failed this request.
        first_upstreams : frozenset of str
            Upstreams that it was sent to, as the first stage.
        may_have_run : bool
            Whether an upstream may have started to run it.
        waiting_since : float
            Time at which it began to wait for a path.
        is_relayed : bool
            Whether it came from another node, and must not be passed on once more.
        urgency : int or None
            Priority level; None if the service has only one.
        ahead : int or None
            Requests that wait before it; None if unknown.
        """
        blocked = self.refuse_blocked(request, may_have_run, now)
        if blocked is not None:
            return blocked
        start = self.crash_tracker.get_start_time(request.traits)
        if start > now:
            return Wait(start)
        if len(first_upstreams) >= route.max_upstreams and first_upstreams <= avoided:
            return self.refuse_limit(may_have_run)
        if avoided and self.reachability.is_unsure(now, waiting_since):
            return Wait(now + PATH_POLL_PERIOD)
        may_relay = not is_relayed and len(first_upstreams) < route.max_upstreams
        if may_relay and self.reachability.prefers_peers(now):
            peer = self.peer_table.choose(avoided, now)
            if peer is not None:
                return make_relay_path(service, peer)
        if not self.can_send_directly:
            if may_have_run:
                return UpstreamFailed(CUT_MESSAGE, RunState.UNKNOWN)
            return self._refuse_cut()
        held_share = 0.0
        if not may_have_run:
            held_share = self.urgencies.measure_held_share(service, urgency, now)
        path = self._search(
            request, service, avoided, first_upstreams, route, now, held_share
        )
        if path is not None and (path.has_capacity or may_have_run):
            self.upstream_gate.leave(request.request_id)
            return path
        wait_end = self.compute_wait_end(route, waiting_since, may_have_run)
        shortage = None
        if path is None:
            shortage = self.find_shortage(request, service, avoided, now)
        remaining = wait_end - now
        if remaining > 0.0 and shortage is None:
            return Wait(wait_end, needs_room=True)
        if remaining > 0.0 and shortage is not None and shortage.wait <= remaining:
            return Wait(now + PATH_POLL_PERIOD, shortage.reason)
        self.upstream_gate.leave(request.request_id)
        if may_have_run:
            return UpstreamFailed("no other path is left", RunState.UNKNOWN)
        if shortage is not None:
            return self._refuse_shortage(shortage)
        if path is not None:
            return self.refuse_full(
                "all paths are full", request, route, service, ahead, now, urgency
            )
        return NoChain(
            "some layers have no upstream",
            retry_after=self._add_jitter(NO_PATH_RETRY_AFTER),
        )

    def estimate_demand(
        self, request: ForwardedRequest, service: str
    ) -> ResourceDemand:
        """Return the resources that a request is expected to need."""
        length = self.estimate_length(request, service)
        return ResourceDemand(
            request.prompt_tokens,
            compute_mean(length),
            self._data_center,
            reserved_tokens=compute_reserve(length),
        )

    def estimate_length(self, request: ForwardedRequest, service: str) -> AnswerLength:
        """Return how long the answer to a request is expected to be."""
        spec = None
        if self.route_table is not None:
            spec = self.route_table.services.get(service)
        if spec is None or spec.engine is None:
            declared = request.hinted_tokens
            if declared is None:
                return Declared(request.max_tokens)
            return Declared(min(request.max_tokens, declared))
        return self.answer_lengths.estimate(
            self._make_length_key(request, service),
            _get_declared_tokens(request),
            request.max_tokens,
            spec.engine.mean_answer_tokens,
            request.arrived,
        )

    def note_answer(
        self, request: ForwardedRequest, service: str, events: int, is_whole: bool
    ) -> float | None:
        """Learn from an answer's events; return their ratio to the expected ones.

        Returns
        -------
        float or None
            None if the answer broke off, or if none of its kind was learned before.
        """
        if request.last_event is not None:
            return None  # its caller has had a part of it already
        length = self.estimate_length(request, service)
        self.answer_lengths.observe(
            self._make_length_key(request, service),
            _get_declared_tokens(request),
            events,
            request.arrived,
            None if is_whole else length,
        )
        expected = compute_mean_events(length)
        return events / expected if is_whole and expected is not None else None

    def compute_wait_end(
        self, route: Route, since: float, may_have_run: bool = False
    ) -> float:
        """Return the time until which a request waits for a path."""
        if may_have_run:
            return since + RESUME_WAIT
        return since + PATH_WAIT_SHARE * route.first_byte_target

    def refuse_full(
        self,
        message: str,
        request: ForwardedRequest,
        route: Route,
        service: str,
        ahead: int | None,
        now: float,
        urgency: int | None = None,
    ) -> Problem:
        """Return the error of a request without room, with the time of its turn.

        Parameters
        ----------
        ahead : int or None
            Requests that wait before it; None if unknown.
        """
        limit = route.timeout
        if request.timeout is not None:
            limit = min(limit, request.timeout)
        time_left = max(0.0, request.arrived + limit - now)
        after = None
        if ahead is not None:
            after = self.room.book_return(service, urgency, ahead, time_left, now)
        if after is None:
            after = self._add_jitter(FULL_RETRY_AFTER)
        return Overloaded(message, retry_after=round(after, 2))

    def refuse_limit(self, may_have_run: bool) -> Problem:
        """Return the error of a stream that was sent as often as it may be."""
        message = "no further upstream is allowed"
        if may_have_run:
            return UpstreamFailed(message, RunState.UNKNOWN)
        return Overloaded(message, retry_after=self._add_jitter(FULL_RETRY_AFTER))

    def refuse_retry(self) -> Problem:
        """Return the error of a stream for which no retry is left in the budget."""
        after = self._add_jitter(BUDGET_RETRY_AFTER)
        return Overloaded("too many requests were sent again", retry_after=after)

    def refuse_call(
        self,
        request: ForwardedRequest,
        service: str,
        avoided: t.Container[str],
        may_have_run: bool,
        now: float,
    ) -> Problem:
        """Return the error of a plain request that no upstream answered."""
        shortage = self.find_shortage(request, service, avoided, now)
        self.upstream_gate.leave(request.request_id)
        if may_have_run:
            return OutcomeUnknown("the upstream broke off", RunState.UNKNOWN)
        if not self.can_send_directly:
            return self._refuse_cut()
        if shortage is not None:
            return self._refuse_shortage(shortage)
        return Overloaded(
            "no upstream has room", retry_after=self._add_jitter(CALL_RETRY_AFTER)
        )

    def find_shortage(
        self,
        request: ForwardedRequest,
        service: str,
        avoided: t.Container[str],
        now: float,
    ) -> Shortage | None:
        """Return why upstreams may not get a request now, and for how long.

        Returns
        -------
        Shortage or None
            None if it isn't their limits or rests that keep it from being sent.
        """
        if self.upstream_gate.is_open:
            return None
        ready = self.upstream_table.list_ready(service, avoided)
        if not ready:
            ready = self.upstream_table.list_ready(service)
        finder = self._finders.get(service)
        if finder is not None:
            demand = self.estimate_demand(request, service)
            if finder.find(ready, demand) is None:
                return None
        return self.upstream_gate.estimate_wait(request.request_id, ready, now)

    def observe_backpressure(
        self, upstream: Registration, backpressure: Backpressure, now: float
    ) -> None:
        """Record what an upstream's answer asks for."""
        if self.upstream_gate.observe(upstream, backpressure, now):
            self.on_news()

    def merge_limits(
        self, node: str, reports: t.Mapping[str, LimitReport], now: float
    ) -> None:
        """Add what a peer knows of limits, and what it sends."""
        if self.upstream_gate.merge_limits(node, reports, now):
            self.on_news()

    def merge_announced_ends(self, incarnations: t.Iterable[str]) -> None:
        """Use no longer the upstreams whose announced end a peer tells.

        Load pattern: a node that was cut off returns; the announcements came in answers
        that other nodes received for it.
        """
        is_news = False
        for incarnation in incarnations:
            upstream = self.upstream_table.find(incarnation.rpartition("@")[0])
            if upstream is None:
                continue
            latest = self.upstream_table.get_latest_incarnation(upstream)
            if latest == incarnation:
                is_news = self.upstream_gate.note_leaving(upstream) or is_news
        if is_news:
            self.on_news()

    def note_rejection(self, name: str, rejection: Rejected, now: float) -> None:
        """Avoid an upstream that rejected a request without running it."""
        period = MISDIRECTED_PERIOD if rejection.misdirected else REJECTED_PERIOD
        self.upstream_table.suspect(name, now, period)

    def note_path_rejection(self, path: Path, rejection: Rejected, now: float) -> str:
        """Avoid the stage that made a path reject a request; return its name."""
        culprit = path.hops[0].upstream
        if rejection.faulty_address is not None:
            found = self.upstream_table.find_by_address(rejection.faulty_address)
            if found is not None and found.name in path.names:
                culprit = found.name
        self.note_rejection(culprit, rejection, now)
        if not rejection.misdirected and self._is_presumed_dead(
            culprit, path.service, now
        ):
            self.mark_culprit(culprit, (), now)
        return culprit

    def note_connection_loss(
        self,
        request: ForwardedRequest,
        upstream: Registration,
        events: int,
        now: float,
    ) -> None:
        """Record that the connection to an upstream broke while it ran a request.

        Parameters
        ----------
        events : int
            Events of the answer that had come; 0 for a plain call.
        """
        if upstream.is_peer:
            return  # it tells of a failure of its upstream in the same way
        self.upstream_table.suspect(upstream.name, now)
        self.reachability.note_failure(upstream.name, now)
        if events >= SOUND_EVENTS or self.reachability.is_cut:
            return
        self.crash_tracker.add_crash(request.traits, upstream.incarnation, now)
        if self.reachability.is_unsure(now):
            self._unconfirmed_crashes.append((request.traits, upstream.incarnation))
            return
        self._report_blocks()
        self.on_news()

    def list_crash_reports(self, now: float) -> dict[Trait, CrashReport]:
        """Return the crashes to tell peers of; none while this node may be cut."""
        if self._unconfirmed_crashes:
            return {}
        return self.crash_tracker.snapshot(now)

    def note_unreachable(self, upstream: Registration, now: float) -> None:
        """Record that no connection to an upstream or another node could be made."""
        if upstream.is_peer:
            self.peer_table.avoid(upstream.name, now)
            return
        self.upstream_table.suspect(upstream.name, now)
        self.reachability.note_failure(upstream.name, now)

    def note_silence(self, names: t.Iterable[str], now: float) -> None:
        """Avoid upstreams that did not answer in time."""
        for name in names:
            if self.upstream_table.find(name) is None:
                self.peer_table.avoid(name, now)
                continue
            self.upstream_table.suspect(name, now)
            self.reachability.note_failure(name, now)

    def record_reach_check(self, reached: int, tried: int, now: float) -> Finding:
        """Record a check of the node's links; return what it changed."""
        finding = self.reachability.record_check(reached, tried, now)
        if self.reachability.is_cut:
            # Its own links broke these connections, and made these upstreams silent.
            self._culprits.clear()
            for traits, incarnation in self._unconfirmed_crashes:
                self.crash_tracker.remove_crash(traits, incarnation)
        elif self._unconfirmed_crashes:
            self._report_blocks()
            self.on_news()
        self._unconfirmed_crashes.clear()
        if finding is Finding.RESTORED:
            self.upstream_table.clear_suspicions()
        return finding

    def merge_crash_reports(
        self, reports: t.Mapping[Trait, CrashReport], now: float
    ) -> None:
        """Add what a peer knows of requests that crash upstreams."""
        if self.crash_tracker.merge(reports, now):
            self._report_blocks()
            self.on_news()

    def refuse_blocked(
        self, request: ForwardedRequest, may_have_run: bool, now: float
    ) -> Problem | None:
        """Return the error of a request that would crash upstreams, else None."""
        blocked = self.crash_tracker.find_blocked(request.traits, now)
        if blocked is None:
            return None
        trait, remaining = blocked
        match trait.kind:
            case "part":
                message = "a part of its prompt crashes upstreams; leave it out"
            case "request":
                message = "it crashes upstreams; change it"
        if may_have_run:
            return UpstreamFailed(message, RunState.UNKNOWN)
        return Overloaded(message, retry_after=math.ceil(remaining))

    def observe_gap(self, path: Path, gap: float) -> None:
        """Record the seconds between two events on a path."""
        chain = Chain(path.service, "", path.hops)
        ratio = gap / path.token_time
        self.slowness.observe(chain, [*path.names, *path.links], ratio)

    def find_detour(
        self,
        request: ForwardedRequest,
        path: Path,
        replaced: frozenset[str],
        avoided: frozenset[str],
        may_cross: bool,
        now: float,
    ) -> Path | None:
        """Return a path that replaces some stages of a running attempt.

        Load pattern: one stage is lost under tens of streams, and its replacements
        must prefill the tokens of all of them. Over a shared link that takes longer
        than to prefill everything again in another data centre.

        Parameters
        ----------
        may_cross : bool
            Whether the path may cross more shared links than before.
        """
        finder = self._finders.get(path.service)
        if finder is None:
            return None
        usable = self.upstream_gate.list_free(
            self.upstream_table.list_usable(path.service, now, avoided | replaced), now
        )
        demand = self.estimate_demand(request, path.service)
        found = finder.find_detour(usable, path, replaced, demand)
        if found is None or may_cross or len(found.links) <= len(path.links):
            return found
        return None

    def find_draining(self, names: t.Iterable[str]) -> frozenset[str]:
        """Return those upstreams that are draining or no longer registered."""
        return frozenset(name for name in names if self.upstream_table.is_leaving(name))

    def find_culprits(self, names: t.Iterable[str], now: float) -> frozenset[str]:
        """Return those upstreams that this node or a peer found at fault."""
        culprits = self.list_culprits(now)
        return frozenset(name for name in names if name in culprits)

    def note_sound_run(self, request: ForwardedRequest, begun_at: float) -> None:
        """Record that an upstream began to answer a request and did not crash."""
        self.crash_tracker.add_sound_run(request.traits, begun_at)

    def suspect_silent(self, names: t.Iterable[str], now: float) -> None:
        """Avoid the stages of a silent path until the culprit is known."""
        for name in names:
            self.upstream_table.suspect(name, now, SILENT_PERIOD)

    def mark_culprit(self, culprit: str, names: t.Iterable[str], now: float) -> None:
        """Avoid a stage found at fault, and clear the suspicion of the others."""
        for name in names:
            if name != culprit:
                self.upstream_table.clear_suspicion(name)
        if self.reachability.is_cut:
            return
        self.upstream_table.suspect(culprit, now, CULPRIT_PERIOD)
        is_new = culprit not in self.list_culprits(now)
        self._culprits[culprit] = now + CULPRIT_PERIOD
        if is_new:
            self.on_news()

    def list_culprits(self, now: float) -> dict[str, float]:
        """Return the upstreams found at fault, with the seconds left of each."""
        for name in [n for n, until in self._culprits.items() if until <= now]:
            del self._culprits[name]
        return {name: until - now for name, until in self._culprits.items()}

    def merge_culprit(self, name: str, remaining: float, now: float) -> bool:
        """Avoid an upstream that a peer found at fault; return whether that is new."""
        if (
            not MIN_RELAYED_PERIOD < remaining <= CULPRIT_PERIOD
            or name in self._culprits
        ):
            return False
        self.upstream_table.suspect(name, now, remaining)
        self._culprits[name] = now + remaining
        self.on_news()
        return True

    def _share_among_nodes(self, now: float) -> None:
        count = self.known_nodes.count(now)
        self.retry_budget.set_node_count(count)
        self.usage_tracker.set_node_count(max(1, count))
        self.limits.set_nodes(self.known_nodes.list_names(now))

    def _make_length_key(self, request: ForwardedRequest, service: str) -> LengthKey:
        route = None
        if self.route_table is not None:
            route = self.route_table.find_route(request.host, request.path)
        name = route.name if route is not None else ""
        return LengthKey(service, name, request.hinted_tokens is not None)

    def _report_blocks(self) -> None:
        blocked = self.crash_tracker.list_blocked()
        for trait in blocked.keys() - self._reported_blocks:
            self.on_blocked(trait, self.crash_tracker.count_crashes(trait))
        self._reported_blocks = frozenset(blocked)

    def _refuse_cut(self) -> Problem:
        after = self._add_jitter(FULL_RETRY_AFTER)
        return NoChain(CUT_MESSAGE, retry_after=after)

    def _refuse_shortage(self, shortage: Shortage) -> Problem:
        after = self._add_jitter(FULL_RETRY_AFTER)
        if math.isfinite(shortage.wait):
            after = min(MAX_SHORTAGE_RETRY_AFTER, shortage.wait + after)
        return Overloaded(shortage.reason, retry_after=round(after, 2))

    def _add_jitter(self, period: float) -> float:
        """Return a random Retry-After in the upper half of `period`, in seconds."""
        return round(period * (0.5 + 0.5 * self._random.random()), 2)

    def _is_presumed_dead(self, name: str, service: str, now: float) -> bool:
        """Tell whether an engine that rejects requests must be dead, not full.

        Load pattern: in a large fleet each node runs into a dead engine on its own,
        and the retries add up unless the first node reports it to the others.
        """
        if self.upstream_gate.is_resting(name, now):
            return False
        registration, finder = (
            self.upstream_table.find(name),
            self._finders.get(service),
        )
        if registration is None or finder is None:
            return False
        if not self.upstream_table.find_silent((name,), now - SILENT_PERIOD):
            return False
        return finder.measure_utilization(registration) < NOT_FULL_THRESHOLD

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0][0]
        names = [name for name, _ in route.targets]
        weights = [max(0.0, weight) for _, weight in route.targets]
        if not any(weights):
            return names[0]
        return self._random.choices(names, weights)[0]

    def _search(
        self,
        request: ForwardedRequest,
        service: str,
        avoided: frozenset[str],
        first_upstreams: frozenset[str],
        route: Route,
        now: float,
        held_share: float = 0.0,
    ) -> Path | None:
        finder = self._finders.get(service)
        if finder is None:
            return None
        usable = self.upstream_gate.list_free(
            self.upstream_table.list_usable(service, now, avoided), now
        )
        ready: list[Registration] | None = None
        first_choices: tuple[str | None, ...] = (None,)
        if len(first_upstreams) >= route.max_upstreams:
            first_choices = tuple(sorted(first_upstreams - avoided))
        for first in first_choices:
            demand = replace(
                self.estimate_demand(request, service),
                first_upstream=first,
                held_share=held_share,
            )
            path = finder.find(usable, demand)
            if path is None:
                # A suspected engine is better than none.
                if ready is None:
                    ready = self.upstream_gate.list_free(
                        self.upstream_table.list_ready(service, avoided), now
                    )
                if len(ready) > len(usable):
                    path = finder.find(ready, demand)
            if path is not None:
                return path
        return None


def _get_declared_tokens(request: ForwardedRequest) -> int:
    """Return the tokens that a request expects, or else allows."""
    if request.hinted_tokens is None:
        return request.max_tokens
    return request.hinted_tokens
