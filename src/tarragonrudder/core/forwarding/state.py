"""What a node knows and decides about opaque requests."""

import random
import typing as t
from dataclasses import dataclass, replace

from tarragonrudder.core.domain.chain import Chain
from tarragonrudder.core.domain.forwarded_request import ForwardedRequest, Rejected
from tarragonrudder.core.domain.route import Account, Route, RouteTable
from tarragonrudder.core.forwarding.budget import RepeatBudget
from tarragonrudder.core.forwarding.crashes import CrashCounter
from tarragonrudder.core.forwarding.ledger import Ledger
from tarragonrudder.core.forwarding.path import Demand, Path, PathFinder
from tarragonrudder.core.forwarding.roster import Registration, Roster
from tarragonrudder.core.selection.slowness import Slowness
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

# Part of the on-time limit for which a request waits for a path: what remains
# is enough to read its prompt.
WAIT_SHARE = 0.5
# Seconds for which a broken stream waits: callers leave after two of silence.
RESUME_WAIT = 1.2
LOOK_PERIOD = 0.03  # seconds between looks for a path
# Seconds within which a full stage ends some requests, and a lost one is loaded
# again; callers come back spread over the upper half.
ROOM_RETRY = 1.5
PATH_RETRY = 3.0
CALL_RETRY = 0.4
REPEAT_RETRY = 1.0  # seconds; the budget's window moves on by a tenth
MISDIRECTED_PERIOD = 2.0  # seconds in which the registration catches up
REJECTED_PERIOD = 0.4  # seconds in which a full or leaving stage is spared
SILENT_PERIOD = 0.5  # seconds in which the first stage is asked for the culprit
# Part of an engine's memory below which it isn't full, though some nodes' loads
# are not counted yet.
SPARE_SHARE = 0.6
CULPRIT_PERIOD = 2.0  # seconds; a crashed engine is not back sooner
# Seconds for which a word on a culprit must still hold to be passed on: nodes that
# heard it earlier have forgotten it a little sooner, and would take it for news.
SHORTEST_WORD = 0.25
OTHER_DATA_CENTER = 0.15  # share of slots by which the own data centre is preferred
SPREAD = 0.1  # share of slots, at random, so that nodes do not all choose alike


@dataclass(frozen=True, slots=True)
class Wait:
    """Look again at a moment, in seconds on the node's clock."""

    until: float


class ForwardingState:
    """All decisions on opaque requests, without input or output."""

    def __init__(
        self, data_center: str, source: random.Random, budget: RepeatBudget
    ) -> None:
        self._data_center = data_center
        self._random = source
        self.roster = Roster()
        self.ledger = Ledger()
        self.budget = budget
        self.crashes = CrashCounter()
        self.slowness = Slowness()
        self.table: RouteTable | None = None
        self._finders: dict[str, PathFinder] = {}
        self._culprits: dict[str, float] = {}
        self.on_culprit: t.Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 without one."""
        return self.table.version if self.table is not None else 0

    def adopt(self, table: RouteTable) -> bool:
        """Take a configuration into use, if it is newer than the one in force."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._finders = {}
        for service in table.services.values():
            if service.engine is not None:
                self._finders[service.name] = PathFinder(
                    service.name,
                    service.engine,
                    self.ledger,
                    self.slowness,
                    self._random,
                )
        return True

    def admit(
        self, request: ForwardedRequest
    ) -> tuple[Route, Account | None, str] | Problem:
        """Return a request's route, account and service, or why it is refused."""
        table = self.table
        if table is None:
            return NoChain("no configuration is known yet", retry_after=1.0)
        route = table.find_route(request.host, request.path)
        if route is None:
            return NotFound("no route for this host and path")
        account = table.find_account(request.api_key)
        if account is None and table.needs_key and not route.anonymous:
            return Unauthorized("the API key is missing or unknown")
        if self.crashes.is_blocked(request.fingerprint, request.arrived):
            return Overloaded("it broke several upstreams", retry_after=30.0)
        service = self._draw_service(route)
        self.budget.deposit(service, request.arrived)
        return route, account, service

    def choose_upstream(
        self, service: str, avoided: t.Container[str], now: float
    ) -> Registration | None:
        """Return the least loaded upstream of a plain service."""
        candidates = self.roster.list_usable(service, now, avoided)
        if not candidates:
            candidates = self.roster.list_ready(service, avoided)
        best, best_load = None, 0.0
        for upstream in candidates:
            usage = self.ledger.measure(upstream.name)
            load = usage.requests / max(1, upstream.slots)
            load += SPREAD * self._random.random()
            if upstream.data_center != self._data_center:
                load += OTHER_DATA_CENTER
            if best is None or load < best_load:
                best, best_load = upstream, load
        return best

    def find_path(
        self,
        request: ForwardedRequest,
        route: Route,
        service: str,
        avoided: frozenset[str],
        firsts: frozenset[str],
        ran: bool,
        since: float,
        now: float,
    ) -> Path | Problem | Wait:
        """Return the path of a stream's next attempt.

        Parameters
        ----------
        avoided : frozenset of str
            Upstreams that failed this request.
        firsts : frozenset of str
            Upstreams that it was sent to.
        ran : bool
            Whether an upstream may have begun to run it.
        since : float
            When it began to wait for a path.
        """
        if len(firsts) >= route.max_upstreams and firsts <= avoided:
            message = "no further upstream is allowed"
            if ran:
                return UpstreamFailed(message, RunState.UNKNOWN)
            return Overloaded(message, retry_after=self._spread(ROOM_RETRY))
        path = self._search(request, service, avoided, firsts, route, now)
        if path is not None and (path.has_room or ran):
            return path
        if now - since < (RESUME_WAIT if ran else WAIT_SHARE * route.first_byte_target):
            return Wait(now + LOOK_PERIOD)
        if ran:
            return UpstreamFailed("no other path is left", RunState.UNKNOWN)
        if path is not None:
            return Overloaded(
                "all paths are full", retry_after=self._spread(ROOM_RETRY)
            )
        return NoChain(
            "some layers have no upstream", retry_after=self._spread(PATH_RETRY)
        )

    def expect(self, request: ForwardedRequest, service: str) -> Demand:
        """Return the tokens that a request is expected to take."""
        answer = request.max_tokens
        if request.hinted_tokens is not None:
            answer = min(answer, request.hinted_tokens)
        elif self.table is not None:
            engine = self.table.services[service].engine
            if engine is not None:
                answer = min(answer, int(engine.mean_answer_tokens))
        return Demand(request.prompt_tokens, answer, self._data_center)

    def refuse_repeat(self) -> Problem:
        """Return the error of a stream for which the budget has no repeat left."""
        after = self._spread(REPEAT_RETRY)
        return Overloaded("too many requests were sent again", retry_after=after)

    def refuse_call(self, ran: bool) -> Problem:
        """Return the error of a plain request that no upstream answered."""
        if ran:
            return OutcomeUnknown("the upstream broke off", RunState.UNKNOWN)
        return Overloaded("no upstream has room", retry_after=self._spread(CALL_RETRY))

    def note_rejection(self, name: str, verdict: Rejected, now: float) -> None:
        """Take in that a plain upstream did not run a request."""
        period = MISDIRECTED_PERIOD if verdict.misdirected else REJECTED_PERIOD
        self.roster.suspect(name, now, period)

    def note_path_rejection(self, path: Path, verdict: Rejected, now: float) -> str:
        """Take in that a path did not run a request; return who is at fault."""
        culprit = path.hops[0].upstream
        if verdict.faulty_address is not None:
            found = self.roster.find_address(verdict.faulty_address)
            if found is not None and found.name in path.names:
                culprit = found.name
        self.note_rejection(culprit, verdict, now)
        if not verdict.misdirected and self._is_dead(culprit, path.service, now):
            self.blame(culprit, (), now)
        return culprit

    def note_broken(self, fingerprint: str, name: str, now: float) -> None:
        """Take in that an upstream broke off while it ran a request."""
        self.roster.suspect(name, now)
        self.crashes.add(fingerprint, now)

    def observe_gap(self, path: Path, gap: float) -> None:
        """Take in the seconds between two events on a path."""
        chain = Chain(path.service, "", path.hops)
        ratio = gap / path.token_time
        self.slowness.observe(chain, [*path.names, *path.links], ratio)

    def find_detour(
        self,
        request: ForwardedRequest,
        path: Path,
        around: frozenset[str],
        avoided: frozenset[str],
        may_cross: bool,
        now: float,
    ) -> Path | None:
        """Return a path that goes round some stages of a running attempt's.

        Load pattern: one stage is lost under tens of streams. All their tokens
        are read again by the stages that replace it; over a link that all share
        that takes longer than reading everything again in another data centre.

        Parameters
        ----------
        may_cross : bool
            Whether it may cross more such links than before.
        """
        finder = self._finders.get(path.service)
        if finder is None:
            return None
        usable = self.roster.list_usable(path.service, now, avoided | around)
        demand = self.expect(request, path.service)
        found = finder.find_detour(usable, path, around, demand)
        if found is None or may_cross or len(found.links) <= len(path.links):
            return found
        return None

    def find_leaving(self, names: t.Iterable[str]) -> frozenset[str]:
        """Return those upstreams that are leaving or have left."""
        leaving = []
        for name in names:
            registration = self.roster.find(name)
            if registration is None or not registration.ready:
                leaving.append(name)
        return frozenset(leaving)

    def find_blamed(self, names: t.Iterable[str], now: float) -> frozenset[str]:
        """Return those upstreams that were found at fault, here or by a peer."""
        culprits = self.list_culprits(now)
        return frozenset(name for name in names if name in culprits)

    def note_answer(self, fingerprint: str) -> None:
        """Take in that a request was answered."""
        self.crashes.clear(fingerprint)

    def suspect_silent(self, names: t.Iterable[str], now: float) -> None:
        """Spare the stages of a silent path until the culprit is known."""
        for name in names:
            self.roster.suspect(name, now, SILENT_PERIOD)

    def blame(self, culprit: str, names: t.Iterable[str], now: float) -> None:
        """Avoid the stage that a path waits for, and no longer the others."""
        for name in names:
            if name != culprit:
                self.roster.absolve(name)
        self.roster.suspect(culprit, now, CULPRIT_PERIOD)
        news = culprit not in self.list_culprits(now)
        self._culprits[culprit] = now + CULPRIT_PERIOD
        if news:
            self.on_culprit()

    def list_culprits(self, now: float) -> dict[str, float]:
        """Return the upstreams that this node found at fault, with seconds left."""
        for name in [n for n, until in self._culprits.items() if until <= now]:
            del self._culprits[name]
        return {name: until - now for name, until in self._culprits.items()}

    def merge_culprit(self, name: str, left: float, now: float) -> bool:
        """Avoid an upstream that another node found at fault; tell if it is news."""
        if not SHORTEST_WORD < left <= CULPRIT_PERIOD or name in self._culprits:
            return False
        self.roster.suspect(name, now, left)
        self._culprits[name] = now + left
        self.on_culprit()
        return True

    def _spread(self, period: float) -> float:
        """Return seconds in the upper half of a period, to come back after."""
        return round(period * (0.5 + 0.5 * self._random.random()), 2)

    def _is_dead(self, name: str, service: str, now: float) -> bool:
        """Tell whether an engine that rejects can't merely be full.

        Load pattern: in a large fleet each node meets a dead engine by itself,
        and the repeats add up, unless the first one tells.
        """
        registration, finder = self.roster.find(name), self._finders.get(service)
        if registration is None or finder is None:
            return False
        if not self.roster.find_silent((name,), now - SILENT_PERIOD):
            return False
        return finder.measure_fill(registration) < SPARE_SHARE

    def _draw_service(self, route: Route) -> str:
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
        firsts: frozenset[str],
        route: Route,
        now: float,
    ) -> Path | None:
        finder = self._finders.get(service)
        if finder is None:
            return None
        usable = self.roster.list_usable(service, now, avoided)
        heads: tuple[str | None, ...] = (None,)
        if len(firsts) >= route.max_upstreams:
            heads = tuple(sorted(firsts - avoided))
        for head in heads:
            demand = replace(self.expect(request, service), first=head)
            path = finder.find(usable, demand)
            if path is None:
                # What is only suspected is better than nothing.
                path = finder.find(self.roster.list_ready(service, avoided), demand)
            if path is not None:
                return path
        return None
