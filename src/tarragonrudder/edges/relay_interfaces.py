"""Interfaces of the relay to upstreams and callers; adapters implement them."""

import typing as t
from dataclasses import dataclass

from tarragonrudder.core.domain.chain import Hop
from tarragonrudder.core.domain.forwarded_request import (
    ForwardedRequest,
    UpstreamResponse,
)
from tarragonrudder.core.forwarding.upstream_table import Registration


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request addressed to one upstream.

    Attributes
    ----------
    hops : tuple of Hop
        Stages of the model's path; empty for a plain service.
    account : str
        Client account that the request's key belongs to; empty without one.
    time_left : float
        Seconds after which the upstream may give up.
    last_event : int or None
        Number of the last event received, after which the stream resumes.
    fresh : bool
        Whether the request must be sent on a new connection.
    sent_to : tuple of str
        What another node must count against the limit of upstreams: those that it was
        sent to before, and placeholders.
    avoided : tuple of str
        Upstreams that failed it, of which another node must know.
    may_repeat : bool
        Whether it may be sent once more afterwards.
    urgency : int or None
        Priority level to tell the upstream; None if its service has only one.
    """

    request: ForwardedRequest
    upstream: Registration
    hops: tuple[Hop, ...]
    account: str
    time_left: float
    last_event: int | None = None
    fresh: bool = False
    sent_to: tuple[str, ...] = ()
    avoided: tuple[str, ...] = ()
    may_repeat: bool = False
    urgency: int | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """Upstreams that the request passes, the one that it is sent to first."""
        if not self.hops:
            return (self.upstream.name,)
        return tuple(hop.upstream for hop in self.hops)


@dataclass(frozen=True, slots=True)
class Handover:
    """What nodes tell each other of a request that one passes on to the other.

    Attributes
    ----------
    node : str
        Name of the node that tells it.
    sent_to : tuple of str
        Upstreams that count against the limit of the request's route. On an answer,
        those that the other node sent the request to.
    avoided : tuple of str
        Upstreams that failed the request.
    may_repeat : bool
        Whether the node that passes it on may send it once more afterwards; False of
        a build before this one.
    """

    node: str
    sent_to: tuple[str, ...]
    avoided: tuple[str, ...] = ()
    may_repeat: bool = False


class Attempt(t.Protocol):
    """One attempt of a request at one upstream or other node.

    Attributes
    ----------
    report : Handover or None
        What the other node has said last, before its answer or with it; None if it
        has said nothing.
    """

    @property
    def report(self) -> Handover | None:
        """What the other node tells."""

    async def send(self) -> None:
        """Send the request; raises BrokenConnection."""

    async def read_response(self) -> UpstreamResponse:
        """Return the classified head of the answer; raises BrokenConnection."""

    async def read_body(self) -> bytes | None:
        """Return the next part of the answer's body, None at its end.

        Raises BrokenConnection.
        """

    def finish(self) -> None:
        """Keep the connection for reuse, if the answer was read to its end."""

    def abort(self) -> None:
        """Close the connection at once."""


@dataclass(frozen=True, slots=True)
class StallReport:
    """An engine's report on the requests whose first stage it is.

    Attributes
    ----------
    stalled : tuple of str
        Addresses of the stages that stalled requests wait for.
    """

    stalled: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DetourOutcome:
    """An engine's answer to a new path for a running request.

    Attributes
    ----------
    done : bool
        Whether the request continues on the new path.
    absent : str or None
        Address of a stage that is unreachable or full.
    """

    done: bool
    absent: str | None = None


class UpstreamClient(t.Protocol):
    """Opens attempts and asks engines for their state."""

    async def open(self, dispatch: Dispatch) -> Attempt:
        """Connect; raises ConnectFailed, in which case nothing was sent."""

    async def request_detour(
        self, upstream: Registration, request: str, hops: tuple[Hop, ...]
    ) -> DetourOutcome:
        """Move a running request to other stages behind the first."""

    async def is_reachable(self, upstream: Registration) -> bool:
        """Tell whether a new connection to an upstream can be made."""

    async def fetch_report(self, upstream: Registration) -> StallReport | None:
        """Return an engine's report, None if there is no valid answer."""


class Reply(t.Protocol):
    """The answer to one caller, or to another node."""

    def report_sends(
        self, sent_to: t.Sequence[str], avoided: t.Collection[str]
    ) -> None:
        """Tell another node what these contain when the answer begins."""

    async def announce_sends(self) -> None:
        """Tell it what they contain now."""

    @property
    def begun(self) -> bool:
        """Whether the head was sent."""

    async def start(self, status: int, headers: t.Any) -> None:
        """Send the head of an answer that follows in parts."""

    async def send(self, data: bytes) -> None:
        """Send a part."""

    async def end(self) -> None:
        """Mark the answer as complete."""

    async def send_whole(self, status: int, headers: t.Any, body: bytes) -> None:
        """Send an upstream's whole answer."""
