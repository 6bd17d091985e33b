"""The state of a forwarded request, and the steps calls and streams share."""

import typing as t
from dataclasses import dataclass, field

import trio

from tarragonrudder.core.domain.forwarded_request import ForwardedRequest, Rejected
from tarragonrudder.core.domain.route import Account, Route
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.core.forwarding.upstream_table import Registration
from tarragonrudder.edges.connection import ConnectFailed
from tarragonrudder.edges.relay_interfaces import (
    Attempt,
    Dispatch,
    Handover,
    UpstreamClient,
)

MAX_SENDS = 5  # of one request; each retry draws on the fleet's retry budget
# Sends of a request that another node passed on. That node counts it as one upstream,
# also if it never gets an answer, and decides whether it is sent again.
MAX_RELAYED_SENDS = 1
PLACEHOLDER = "withheld:"  # stands for an upstream that another node must not add
# Seconds without an answer from which on the upstream is suspected. A shorter wait,
# under a short route timeout, proves nothing: calls take tens of milliseconds, and a
# full upstream queues a few of them.
MIN_HANGING_TIME = 0.5
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # of an answer that is buffered

LogFunction: t.TypeAlias = t.Callable[..., None]


class AnswerTooLarge(Exception):
    """An answer that must be buffered is larger than `MAX_ANSWER_BYTES`."""


@dataclass(slots=True)
class Job:
    """A request with its route and the attempts made so far.

    Attributes
    ----------
    deadline : float
        When the final answer is due, in trio time.
    sent_to : list of str
        Upstream of each send, of a path only the first stage; includes attempts that
        are still connecting. Another node, until it tells which upstream it used.
    avoided : set of str
        Upstreams that are not to be chosen again, such as those that failed it.
    retried_at : list of float
        When each retry was withdrawn from the retry budget, in trio time.
    possible_runs : int
        Number of attempts that were sent and not rejected.
    fresh : bool
        Whether only new connections may be used from now on.
    running : dict of str to float
        Plain upstreams whose answers are awaited, with the time of each attempt.
    relayed_by : str
        Name of the node that passed the request on; empty for a caller's own.
    earlier_upstreams : frozenset of str
        Upstreams that this node says it was sent to before.
    announce_sends : callable or None
        Tells this node at once which upstream it was sent to.
    sender_may_repeat : bool
        Whether this node may send it once more.
    peer_retry_after : float
        Longest time in seconds after which a node that refused it would take it.
    urgency : int or None
        Priority level, lower is served first; None if its service has only one.
    """

    request: ForwardedRequest
    route: Route
    account: Account | None
    service: str
    deadline: float
    sent_to: list[str] = field(default_factory=list)
    avoided: set[str] = field(default_factory=set)
    retried_at: list[float] = field(default_factory=list)
    possible_runs: int = 0
    fresh: bool = False
    running: dict[str, float] = field(default_factory=dict)
    relayed_by: str = ""
    earlier_upstreams: frozenset[str] = frozenset()
    announce_sends: t.Callable[[], t.Awaitable[None]] | None = None
    sender_may_repeat: bool = False
    peer_retry_after: float = 0.0
    urgency: int | None = None

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account is not None else ""

    @property
    def sends(self) -> int:
        """Number of times it was sent."""
        return len(self.sent_to)

    @property
    def first_upstreams(self) -> frozenset[str]:
        """Upstreams that any node sent it to; of a path only the first stage."""
        return self.earlier_upstreams.union(self.sent_to)

    @property
    def max_sends(self) -> int:
        """Number of times that this node may send it."""
        return MAX_RELAYED_SENDS if self.relayed_by else MAX_SENDS

    @property
    def has_sends_left(self) -> bool:
        """Whether this node may send it once more."""
        return self.sends < self.max_sends

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have started to run it."""
        return self.possible_runs > 0

    @property
    def has_upstreams_left(self) -> bool:
        """Whether it may be sent to one more upstream."""
        has_room = len(self.first_upstreams) < self.route.max_upstreams
        return has_room and self.has_sends_left

    @property
    def may_repeat(self) -> bool:
        """Whether it may be sent to one more upstream, though it may have run."""
        return self.route.idempotent and self.has_upstreams_left

    def list_counted(self, target: str) -> tuple[str, ...]:
        """Return the upstreams that another node must count against the limit.

        Builds that don't keep to `MAX_RELAYED_SENDS` use as many upstreams as the route
        allows beyond these; placeholders leave them one.

        Parameters
        ----------
        target : str
            Name of the node that is asked.
        """
        counted = [name for name in dict.fromkeys(self.sent_to) if name != target]
        count = min(self.route.max_upstreams, MAX_SENDS) - 1
        for number in range(len(counted), count):
            counted.append(f"{PLACEHOLDER}{number}")
        return tuple(counted)


class Sender:
    """Opens attempts, enforces the retry limits and records their results."""

    def __init__(
        self, state: ForwardingState, upstreams: UpstreamClient, log: LogFunction
    ) -> None:
        self.state = state
        self.upstreams = upstreams
        self.log = log
        self._started_at: float | None = None

    def start(self) -> None:
        """Note when the process began to serve."""
        self._started_at = trio.current_time()

    def start_send(self, job: Job, names: t.Sequence[str]) -> bool:
        """Count a send; return False if the limit or the retry budget is exhausted.

        Parameters
        ----------
        names : sequence of str
            Upstreams that it passes, the one that it is sent to first.

        Notes
        -----
        Counted before the connection is open, so that attempts that start meanwhile
        stay within the limits. `open` must follow, or `take_back`.
        """
        if not job.has_sends_left:
            return False
        now = trio.current_time()
        if job.sends > 0:
            if not self.state.retry_budget.withdraw(job.service, now):
                self._log_exhausted(job, now)
                return False
            job.retried_at.append(now)
        self.state.upstream_gate.take(names, now)
        job.sent_to.append(names[0])
        return True

    def take_back(self, job: Job, names: t.Sequence[str]) -> None:
        """Uncount a send of which nothing was sent."""
        self.state.upstream_gate.give_back(names, trio.current_time())
        job.sent_to.remove(names[0])
        if job.retried_at:
            # The first send is free, whichever of them it is in the end.
            self.state.retry_budget.refund(job.service, job.retried_at.pop())

    async def open(self, job: Job, dispatch: Dispatch) -> Attempt | None:
        """Connect for a counted send; return None if the connection failed."""
        name = dispatch.upstream.name
        if dispatch.upstream.is_peer:
            self.state.peer_table.note_sent(name)
            self.log(
                "relayed",
                job.request.request_id,
                peer=name,
                address=dispatch.upstream.address,
                reason="this node is cut off from the upstreams",
                sends=job.sends,
                sent_to=list(dispatch.sent_to),
            )
        try:
            return await self.upstreams.open(dispatch)
        except ConnectFailed as error:
            self.take_back(job, dispatch.names)
            self.log(
                "unreachable", job.request.request_id, upstream=name, reason=str(error)
            )
            self.state.note_unreachable(dispatch.upstream, trio.current_time())
            job.avoided.add(name)
            return None
        except trio.Cancelled:
            self.take_back(job, dispatch.names)
            raise

    def record_report(
        self, job: Job, peer: Registration, report: Handover | None
    ) -> None:
        """Count the upstream that another node used, instead of the node itself.

        A node that doesn't tell counts as one upstream, and isn't asked again.
        """
        if report is None:
            return
        job.avoided.update(report.avoided)
        if report.sent_to:
            job.sent_to.remove(peer.name)
            job.sent_to.extend(report.sent_to)
            job.avoided.discard(peer.name)

    async def send(self, job: Job, attempt: Attempt) -> None:
        """Send the request; a node that passed it on learns to which upstream.

        Load pattern: an upstream is silent, and the node that passed the request on
        must have another one asked that is not this upstream.

        Raises
        ------
        BrokenConnection
            If the request could not be sent.
        """
        await attempt.send()
        if job.announce_sends is not None:
            await job.announce_sends()

    def handle_broken(
        self,
        job: Job,
        upstream: Registration,
        reason: str,
        events: int = 0,
        report: Handover | None = None,
    ) -> None:
        """Record that an upstream's answer was missing or incomplete.

        Parameters
        ----------
        events : int
            Events that it had yielded; 0 for a plain call.
        report : Handover or None
            What it says of its upstream, if it is another node.
        """
        culprits = report.sent_to if report is not None else ()
        self.log(
            "broken",
            job.request.request_id,
            upstream=upstream.name,
            reason=reason,
            events=events,
            parts=list(job.request.prompt_parts),
            sent_to=list(culprits),
        )
        self.state.note_connection_loss(
            job.request, upstream, events, trio.current_time()
        )
        job.avoided.update(culprits or (upstream.name,))

    def handle_peer_rejection(
        self, job: Job, peer: Registration, response: Rejected, report: Handover | None
    ) -> None:
        """Record that another node did not run a request.

        It costs no retry if that node says that it has sent it to no upstream.
        """
        job.avoided.add(peer.name)
        if report is not None and not report.sent_to:
            self.take_back(job, (peer.name,))
        self.record_report(job, peer, report)
        job.possible_runs -= 1
        job.peer_retry_after = max(job.peer_retry_after, response.retry_after)
        self.log(
            "relay_refused",
            job.request.request_id,
            peer=peer.name,
            retry_after=response.retry_after,
            sent_to=list(report.sent_to) if report is not None else None,
        )

    def _log_exhausted(self, job: Job, now: float) -> None:
        allowance = self.state.retry_budget.measure(job.service, now)
        uptime = None
        if self._started_at is not None:
            uptime = round(now - self._started_at, 3)
        self.log(
            "retries_exhausted",
            job.request.request_id,
            service=job.service,
            spent=allowance.spent,
            allowed=round(allowance.allowed, 2),
            nodes=allowance.nodes,
            uptime=uptime,
            sends=job.sends,
        )

    def log_held(self, job: Job, reason: str) -> None:
        """Log that a request waits for upstreams that have asked not to get it."""
        self.log(
            "held",
            job.request.request_id,
            service=job.service,
            reason=reason,
        )

    def log_displaced(self, job: Job) -> None:
        """Log that a request that goes before a waiting one took its place."""
        self.log(
            "displaced",
            job.request.request_id,
            service=job.service,
            urgency=job.urgency,
            account=job.account_name,
        )

    def log_end(self, job: Job, status: int, **fields: t.Any) -> None:
        """Log that an upstream's answer was forwarded completely."""
        took = round(trio.current_time() - job.request.arrived, 3)
        self.log(
            "ended",
            job.request.request_id,
            route=job.route.name,
            status=status,
            took=took,
            sends=job.sends,
            **fields,
        )


async def read_whole(attempt: Attempt) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    AnswerTooLarge
        If it is longer than `MAX_ANSWER_BYTES`.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        data = await attempt.read_body()
        if data is None:
            return b"".join(parts)
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(f"over {MAX_ANSWER_BYTES} bytes")
        parts.append(data)
