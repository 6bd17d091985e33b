"""A request on its way, and the steps that calls and streams share."""

import typing as t
from dataclasses import dataclass, field

import trio

from tarragonrudder.core.domain.forwarded_request import ForwardedRequest
from tarragonrudder.core.domain.route import Account, Route
from tarragonrudder.core.forwarding.state import ForwardingState
from tarragonrudder.edges.connection import ConnectFailed
from tarragonrudder.edges.upstream_client import Attempt, Dispatch, UpstreamClient

MAX_SENDS = 5  # of one request; each but the first draws on the fleet's budget
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # bytes of an answer that is read whole

Log: t.TypeAlias = t.Callable[..., None]


class AnswerTooLarge(Exception):
    """An answer that has to be read whole is larger than the node keeps."""


@dataclass(slots=True)
class Job:
    """A request with its route, and what was tried for it.

    Attributes
    ----------
    deadline : float
        When it must have its final answer, on the node's clock.
    first_upstreams : set of str
        Upstreams that it was sent to.
    avoided : set of str
        Upstreams that failed it.
    sends : int
        Times that it was sent.
    may_have_run : bool
        Whether an upstream may have begun to run it.
    fresh : bool
        Whether kept connections are not to be used any more.
    current : str
        Plain upstream that is asked now, and stays so when the time limit comes;
        empty between attempts.
    asked_at : float
        When it was asked.
    """

    request: ForwardedRequest
    route: Route
    account: Account | None
    service: str
    deadline: float
    first_upstreams: set[str] = field(default_factory=set)
    avoided: set[str] = field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    fresh: bool = False
    current: str = ""
    asked_at: float = 0.0

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account is not None else ""

    @property
    def has_upstreams_left(self) -> bool:
        """Whether it may be sent to one more upstream."""
        return len(self.first_upstreams) < self.route.max_upstreams


class Sender:
    """Opens attempts and keeps the count of what a request has used up."""

    def __init__(
        self, state: ForwardingState, upstreams: UpstreamClient, log: Log
    ) -> None:
        self.state = state
        self.upstreams = upstreams
        self.log = log

    def may_send(self, job: Job) -> bool:
        """Tell whether a request may be sent now; a repeat uses up budget."""
        if job.sends == 0:
            return True
        if job.sends >= MAX_SENDS:
            return False
        return self.state.budget.withdraw(job.service, trio.current_time())

    async def open(self, job: Job, dispatch: Dispatch) -> Attempt | None:
        """Connect to an upstream; return None if nothing could be sent."""
        name = dispatch.upstream.name
        try:
            attempt = await self.upstreams.open(dispatch)
        except ConnectFailed as error:
            self.log(
                "unreachable", job.request.request_id, upstream=name, reason=str(error)
            )
            self.state.upstream_table.suspect(name, trio.current_time())
            job.avoided.add(name)
            return None
        job.sends += 1
        job.first_upstreams.add(name)
        return attempt

    def note_broken(self, job: Job, name: str, reason: str) -> None:
        """Take in that an upstream gave no whole answer."""
        self.log("broken", job.request.request_id, upstream=name, reason=reason)
        self.state.note_broken(job.request.fingerprint, name, trio.current_time())
        job.avoided.add(name)

    def log_end(self, job: Job, status: int, **fields: t.Any) -> None:
        """Log that an upstream's answer was passed on whole."""
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
    """Return the body of an answer.

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
